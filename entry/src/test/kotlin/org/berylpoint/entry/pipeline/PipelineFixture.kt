package org.berylpoint.entry.pipeline

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.test.TestScope
import org.berylpoint.entry.backend.BackendCall
import org.berylpoint.entry.backend.BackendClient
import org.berylpoint.entry.backend.BackendEvent
import org.berylpoint.entry.backend.ListedServer
import org.berylpoint.entry.backend.ProbeFailure
import org.berylpoint.entry.backend.ServerDirectory
import org.berylpoint.entry.catalogue.CatalogueSource
import org.berylpoint.entry.judgement.EvidenceOutcome
import org.berylpoint.entry.judgement.Judge
import org.berylpoint.entry.node.NodeContext
import org.berylpoint.entry.once.OnceDecision
import org.berylpoint.entry.once.OnceRegistry
import org.berylpoint.entry.once.OnceTicket
import org.berylpoint.entry.once.StoredAnswer
import org.berylpoint.entry.ownership.Grant
import org.berylpoint.entry.ownership.Reservations
import org.berylpoint.model.BackendServer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueEntry
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.model.ClassLimits
import org.berylpoint.model.EntryName
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.Fingerprint
import org.berylpoint.model.IdempotencyKey
import org.berylpoint.model.Instance
import org.berylpoint.model.InstanceId
import org.berylpoint.model.Problem
import org.berylpoint.model.RequestClass
import org.berylpoint.model.RequestId
import org.berylpoint.model.ResponseEvent
import org.berylpoint.model.ServeRequest
import org.berylpoint.model.ServiceKind
import org.berylpoint.model.VersionName
import org.berylpoint.model.Workspace
import org.berylpoint.peer.AttemptOutcome
import org.berylpoint.peer.DenyReason
import org.berylpoint.peer.PeerError
import org.berylpoint.peer.PeerHandler
import org.berylpoint.peer.PeerMessage
import org.berylpoint.peer.PeerMessage.Denied
import org.berylpoint.peer.PeerNetwork
import org.berylpoint.platform.InstanceList
import org.berylpoint.platform.ListedInstance
import org.berylpoint.platform.ObjectStore
import org.berylpoint.platform.PlatformError
import org.berylpoint.platform.Row
import org.berylpoint.platform.RowKey
import org.berylpoint.platform.RowWrite
import org.berylpoint.platform.TableService
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.ExperimentalTime

/** A [ServingPipeline] with fakes for its backend servers, reservations, judge and [OnceRegistry]. */
@OptIn(ExperimentalCoroutinesApi::class, ExperimentalTime::class)
internal class PipelineFixture(test: TestScope, limits: ClassLimits = ClassLimits(maxInFlight = 4)) {
    private val time = test.testScheduler.timeSource
    val backends = ScriptedBackendClient()
    val reservations = FakeReservations()
    val judge = RecordingJudge()
    val once = ScriptedOnceRegistry()
    val entry = CatalogueEntry(
        EntryName("e"),
        Workspace("w"),
        RequestClass("c"),
        ServiceKind.PLAIN,
        VersionName("v1"),
        limits,
    )
    val servers = LinkedHashMap<BackendServerId, ListedServer>()
    val catalogue = MutableStateFlow<Catalogue?>(Catalogue(1, mapOf(entry.name to entry)))
    private var nextRequest = 0

    private val directory = object : ServerDirectory {
        override fun candidates(requestClass: RequestClass) =
            servers.values.filter { it.entry.requestClass == requestClass && it.state == ListedServer.State.InService }

        override fun find(id: BackendServerId) = servers[id]

        override fun all() = servers.values.toList()
    }

    val pipeline = ServingPipeline(
        NodeContext(
            Instance(InstanceId("i1"), FailureDomain("a"), "i1:1"),
            test.backgroundScope,
            time,
            Clock.System,
            Random(SEED),
            NoPeers,
            NoPlatform,
            NoPlatform,
            NoPlatform,
            backends,
            emptyList(),
        ),
        object : CatalogueSource {
            override val current: StateFlow<Catalogue?> = catalogue

            override suspend fun submit(update: CatalogueUpdate): Either<Problem, Long> =
                Problem(ErrorKind.StoreUnavailable, "updates are not supported").left()
        },
        directory,
        reservations,
        once,
        judge,
    )

    /** Adds a server that answers calls with [script] to the directory. */
    fun server(
        id: String,
        of: CatalogueEntry = entry,
        script: suspend kotlinx.coroutines.flow.FlowCollector<BackendEvent>.(BackendCall) -> Unit,
    ): BackendServer {
        val server = BackendServer(BackendServerId(id), FailureDomain("a"), "http://$id")
        servers[server.id] = ListedServer(server, of, ListedServer.State.InService)
        backends.scripts[id] = script
        return server
    }

    fun request(key: String? = null, deadline: Duration = 10.seconds, kind: ServiceKind = ServiceKind.PLAIN) =
        ServeRequest(
            id = RequestId("r${++nextRequest}"),
            workspace = Workspace("w"),
            requestClass = RequestClass("c"),
            kind = kind,
            method = "POST",
            path = "/seats?x=1",
            contentType = "application/json",
            body = "body",
            idempotencyKey = key?.let(::IdempotencyKey),
            deadline = time.markNow() + deadline,
            stream = false,
            fingerprint = Fingerprint("f"),
        )

    suspend fun serve(request: ServeRequest = request()): List<ResponseEvent> = pipeline.serve(request).toList()

    private companion object {
        const val SEED = 7
    }
}

internal class ScriptedBackendClient : BackendClient {
    val scripts =
        HashMap<String, suspend kotlinx.coroutines.flow.FlowCollector<BackendEvent>.(BackendCall) -> Unit>()
    val calls = ArrayList<Pair<String, BackendCall>>()
    val down = HashSet<String>()

    override fun send(server: BackendServer, call: BackendCall): Flow<BackendEvent> = flow {
        calls += server.id.value to call
        scripts.getValue(server.id.value)(call)
    }

    override suspend fun probe(server: BackendServer, timeout: Duration): Either<ProbeFailure, Boolean> =
        if (server.id.value in down) ProbeFailure.Refused.left() else true.right()

    override suspend fun exportKv(server: BackendServer, request: RequestId): String? = null

    override suspend fun importKv(server: BackendServer, handle: String): Boolean = false
}

/** Grants places in flight up to a limit for each server. */
internal class FakeReservations : Reservations {
    val limits = HashMap<String, Int>()
    val inFlight = HashMap<String, Int>()
    val released = ArrayList<Pair<String, AttemptOutcome>>()
    var usable = true

    override suspend fun reserve(
        server: BackendServer,
        request: RequestId,
        remaining: Duration,
        wait: Duration,
        worth: Double,
    ): Either<Denied, Grant> {
        val id = server.id.value
        val limit = limits[id] ?: Int.MAX_VALUE
        if ((inFlight[id] ?: 0) >= limit) delay(wait)
        val count = inFlight[id] ?: 0
        if (count >= limit) return Denied(DenyReason.FULL, count, limit).left()
        inFlight[id] = count + 1
        return object : Grant {
            private var isOpen = true

            override fun isUsable() = usable

            override fun release(outcome: AttemptOutcome) {
                if (!isOpen) return
                isOpen = false
                inFlight[id] = inFlight.getValue(id) - 1
                released += id to outcome
            }
        }.right()
    }
}

internal class RecordingJudge : Judge {
    var shares = mapOf(VersionName("v1") to 1.0)
    var quarantined = false
    val crashes = ArrayList<String>()
    val evidence = ArrayList<Pair<String, EvidenceOutcome>>()

    override fun trafficShares(requestClass: RequestClass, route: String) = shares

    override fun recordOutcome(entry: CatalogueEntry, server: BackendServer, route: String, outcome: EvidenceOutcome) {
        evidence += "${entry.version}$route" to outcome
    }

    override suspend fun permitAttempt(fingerprint: Fingerprint, attempt: String): Either<Problem, Unit> =
        if (quarantined) Problem(ErrorKind.Quarantined, "two crashes").left() else Unit.right()

    override fun recordCrash(fingerprint: Fingerprint, attempt: String) {
        crashes += attempt
    }
}

internal class ScriptedOnceRegistry : OnceRegistry {
    override suspend fun mayHaveRun(request: ServeRequest): Boolean = hasEarlierRun

    var hasEarlierRun = false
    var decision: (OnceTicket) -> OnceDecision = { OnceDecision.Run(it) }
    var dispatchProblem: Problem? = null
    var mayRunElsewhere = false
    val log = ArrayList<String>()

    override suspend fun begin(request: ServeRequest): OnceDecision {
        log += "begin"
        return decision(
            object : OnceTicket {
                override val mayRunElsewhere get() = this@ScriptedOnceRegistry.mayRunElsewhere

                override suspend fun dispatch(server: BackendServerId): Either<Problem, Unit> {
                    log += "dispatch $server"
                    return dispatchProblem?.left() ?: Unit.right()
                }

                override suspend fun finish(answer: StoredAnswer) {
                    log += "finish ${answer.body}"
                }

                override suspend fun abandon() {
                    log += "abandon"
                }

                override suspend fun markOutcomeUnknown() {
                    log += "unknown"
                }
            },
        )
    }
}

private object NoPeers : PeerNetwork {
    override suspend fun call(address: String, message: PeerMessage, timeout: Duration) = PeerError.Refused.left()

    override fun serve(handler: PeerHandler) = Unit
}

private object NoPlatform : TableService, ObjectStore, InstanceList {
    override suspend fun get(key: RowKey): Either<PlatformError, Row?> = awaitCancellation()

    override suspend fun query(partition: String, after: String, limit: Int): Either<PlatformError, List<Row>> =
        awaitCancellation()

    override suspend fun transact(writes: List<RowWrite>): Either<PlatformError, Unit> = awaitCancellation()

    override suspend fun get(name: String): Either<PlatformError, String?> = awaitCancellation()

    override suspend fun put(name: String, content: String): Either<PlatformError, Unit> = awaitCancellation()

    override suspend fun read(): Either<PlatformError, List<ListedInstance>> = awaitCancellation()
}
