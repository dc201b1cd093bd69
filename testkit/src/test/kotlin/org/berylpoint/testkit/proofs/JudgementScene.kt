package org.berylpoint.testkit.proofs

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.testTimeSource
import kotlinx.coroutines.withTimeoutOrNull
import org.berylpoint.entry.backend.ListedServer
import org.berylpoint.entry.backend.ServerDirectory
import org.berylpoint.entry.catalogue.CatalogueSource
import org.berylpoint.entry.judgement.PooledJudge
import org.berylpoint.entry.member.Membership
import org.berylpoint.entry.once.OnceDecision
import org.berylpoint.entry.once.OnceRegistry
import org.berylpoint.entry.ownership.Grant
import org.berylpoint.entry.ownership.Reservations
import org.berylpoint.entry.pipeline.ServingPipeline
import org.berylpoint.model.BackendServer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueChange
import org.berylpoint.model.CatalogueEntry
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.model.ClassLimits
import org.berylpoint.model.EntryName
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.Fingerprint
import org.berylpoint.model.Problem
import org.berylpoint.model.RequestClass
import org.berylpoint.model.RequestId
import org.berylpoint.model.ResponseEvent
import org.berylpoint.model.ServeRequest
import org.berylpoint.model.ServiceKind
import org.berylpoint.model.VersionMove
import org.berylpoint.model.VersionName
import org.berylpoint.model.Workspace
import org.berylpoint.peer.AttemptOutcome
import org.berylpoint.peer.DenyReason
import org.berylpoint.peer.PeerMessage
import org.berylpoint.peer.PeerMessage.Denied
import org.berylpoint.policy.judgement.ErrorRates
import org.berylpoint.policy.judgement.Finding
import org.berylpoint.policy.judgement.Outcomes
import org.berylpoint.policy.judgement.Stratum
import org.berylpoint.policy.judgement.StratumOutcomes
import org.berylpoint.policy.judgement.VersionTrial
import org.berylpoint.testkit.check.CheckReport
import org.berylpoint.testkit.check.InvariantChecker
import org.berylpoint.testkit.rig.AbsentPlatform
import org.berylpoint.testkit.rig.Machine
import org.berylpoint.testkit.rig.Rig
import org.berylpoint.testkit.rig.context
import org.berylpoint.testkit.standin.CallerEvent
import org.berylpoint.testkit.standin.Carrying
import org.berylpoint.testkit.standin.FakeBackends
import org.berylpoint.testkit.standin.FakePlainService
import org.berylpoint.testkit.standin.FakeServer
import org.berylpoint.testkit.standin.Journal
import org.berylpoint.testkit.standin.JournalEvent
import org.berylpoint.testkit.standin.MemoryTable
import org.berylpoint.testkit.standin.ServerEvent
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Eight entry instances in four failure domains that serve one class by the real pipeline, membership and judge, with
 * two versions of three servers each. Ownership is played by a reservation that knows what each server carries.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class JudgementScene(
    private val test: TestScope,
    seed: Int,
    private val newStartsWarm: Boolean = true,
    requestsPerSecond: Double = 48.0,
) {
    val journal = Journal.on(test.testTimeSource)
    val rig = Rig(test, seed)
    val backends = FakeBackends(Random(seed))
    val table = MemoryTable()
    val domains = listOf("a", "b", "c", "d").map(::FailureDomain)
    val nodes = mutableListOf<Node>()
    private val random = Random(seed)
    private val meanGapMillis = 1_000.0 / requestsPerSecond
    private val catalogue = MutableStateFlow(Catalogue())
    private var calls = 0
    private val places = mutableMapOf<BackendServerId, Int>()

    /** Each commit of the catalogue with its time. */
    val commits = mutableListOf<Pair<Long, Catalogue>>()

    init {
        val entries = listOf(entry(OLD, 1), entry(NEW, 2))
        catalogue.value = Catalogue(1, entries.associateBy { it.name })
        for (entry in entries) {
            for (server in entry.servers) {
                backends.add(
                    FakePlainService(
                        server,
                        entry.version,
                        journal,
                        test.backgroundScope,
                        Random(seed + server.id.hashCode()),
                        carrying = Carrying(cold = 2, warm = 16, warmupMillis = RAMP_MILLIS),
                        startsWarm = entry.version == OLD || newStartsWarm,
                    ),
                )
            }
        }
        nodes += (0 until 8).map { Node(rig.machine("i$it", domains[it % 4])) }
    }

    inner class Node(val machine: Machine) {
        private val view = MutableStateFlow<Catalogue?>(catalogue.value)
        private val source = object : CatalogueSource {
            override val current: StateFlow<Catalogue?> = view

            override suspend fun submit(update: CatalogueUpdate): Either<Problem, Long> = commit(update)
        }
        private val context = rig.context(
            machine,
            table.caller(machine.instance.id),
            AbsentPlatform,
            AbsentPlatform,
            backends.viewFor(machine.instance),
            (0 until 8).map { "i$it:1" } - machine.instance.peerAddress,
        )
        private val membership = Membership(context)
        val judge = PooledJudge(context, membership.view, source, { true })
        private val pipeline = ServingPipeline(context, source, Directory(view), Places(), NoOnce, judge)

        init {
            membership.attach(judge)
            context.peers.serve { _, message ->
                when (message) {
                    is PeerMessage.CrashNotice -> judge.handle(message)
                    else -> membership.handle(message) ?: PeerMessage.Refusal("not expected")
                }
            }
            membership.start()
            judge.start()
            machine.scope.launch {
                // A change of the catalogue reaches each instance at a time of its own.
                catalogue.collect {
                    delay(random.nextLong(50, 1_000).milliseconds)
                    view.value = it
                }
            }
        }

        /** Serves one request and writes the caller's journal. */
        suspend fun serve(call: String, path: String, body: String, send: String = "1", fingerprint: String = call) {
            val expected = FakePlainService.expected("POST", path, body)
            val request = ServeRequest(
                RequestId("${machine.instance.id}-$call-$send"), Workspace("w"), CLASS, ServiceKind.PLAIN, "POST", path,
                "application/json", body, null, rig.time.markNow() + DEADLINE, false, Fingerprint(fingerprint),
            )
            journal.add(
                CallerEvent.Sent(
                    journal.now(),
                    call,
                    send,
                    CLASS.name,
                    true,
                    DEADLINE.inWholeMilliseconds,
                    expected,
                ),
            )
            pipeline.serve(request).collect {
                journal.add(
                    when (it) {
                        is ResponseEvent.Head -> CallerEvent.Head(journal.now(), call, send, it.status)

                        is ResponseEvent.Data -> CallerEvent.Chunk(journal.now(), call, send, it.text)

                        ResponseEvent.End -> CallerEvent.Complete(journal.now(), call, send)

                        is ResponseEvent.Failed ->
                            CallerEvent.Problem(
                                journal.now(),
                                call,
                                send,
                                it.problem.kind.name,
                                it.problem.runState.wireName,
                            )
                    },
                )
            }
        }
    }

    /** Commits a change as an operator would. */
    fun operate(change: CatalogueChange) {
        check(commit(CatalogueUpdate(catalogue.value.version, listOf(change))).isRight())
    }

    /** Starts the move to the new version, to be complete after [within]. */
    fun move(within: Duration) {
        operate(CatalogueChange.MoveTraffic(CLASS, NEW, journal.now() + within.inWholeMilliseconds))
    }

    /** The move as the catalogue has it. */
    val move: VersionMove get() = catalogue.value.moves.getValue(CLASS)

    fun servers(version: VersionName): List<FakeServer> = backends.all.values.filter { it.version == version }

    /** Sends requests to all instances until the test ends, a tenth of them on [RARE_ROUTE]. */
    fun startTraffic() {
        test.backgroundScope.launch {
            while (true) {
                delay((-kotlin.math.ln(1 - random.nextDouble()) * meanGapMillis).milliseconds)
                val call = "c${calls++}"
                val path = if (random.nextInt(10) == 0) RARE_ROUTE else ROUTE
                val node = nodes.filter { it.machine.isAlive }.random(random)
                test.backgroundScope.launch {
                    node.serve(call, path, FakePlainService.request(call, "seat"))
                }
            }
        }
    }

    /** Waits until the move has ended, at most [bound]. */
    suspend fun awaitEnd(bound: Duration) {
        withTimeoutOrNull(bound) { catalogue.first { it.moves[CLASS]?.state != VersionMove.State.RUNNING } }
    }

    /** Starts crashed servers again after [pause]. */
    fun restartCrashed(pause: Duration) {
        test.backgroundScope.launch {
            while (true) {
                delay(100.milliseconds)
                backends.all.values.filter { !it.isUp }.forEach { down ->
                    later(pause) { if (!down.isUp) down.restart() }
                }
            }
        }
    }

    /** Starts an instance in place of the one at [index], under a new name. */
    fun restartNode(index: Int) {
        val old = nodes[index].machine.instance
        nodes += Node(rig.machine("${old.id}-again", old.failureDomain))
    }

    /** Runs [block] after [wait]. */
    fun later(wait: Duration, block: () -> Unit) {
        test.backgroundScope.launch {
            delay(wait)
            block()
        }
    }

    /** Calls that reached a server of [version] within [times]. */
    fun arrivals(version: VersionName, times: LongRange = 0L..Long.MAX_VALUE): List<ServerEvent.Accepted> =
        journal.events().filterIsInstance<ServerEvent.Accepted>()
            .filter { it.version == version.value && it.atMillis in times }

    /**
     * The time at which the servers' journals hold enough evidence since [fromMillis] that the new version is bad, by
     * a test of its own on outcomes that are known at once and everywhere; null without such a time.
     */
    fun evidenceMillis(fromMillis: Long): Long? {
        val arrivals = journal.events().filterIsInstance<ServerEvent.Accepted>().associateBy { it.served }
        val trial = VersionTrial(ErrorRates(falseAlarmRate = 0.005), Random(1))
        for ((event, status) in journal.events().mapNotNull(::ended)) {
            val arrival = arrivals.getValue(event.served)
            if (arrival.atMillis < fromMillis) continue
            val slow = event.atMillis - arrival.atMillis > 2 * FIRST_BYTE_MILLIS
            val outcome = if (status >= 500 || slow) Outcomes(0, 1) else Outcomes(1, 0)
            val from = nodes.first { arrival.served.request.startsWith("${it.machine.instance.id}-") }
            val stratum = Stratum(arrival.path, from.machine.instance.failureDomain, FailureDomain(arrival.domain))
            val both = if (arrival.version == NEW.value) {
                StratumOutcomes(outcome, Outcomes.NONE)
            } else {
                StratumOutcomes(Outcomes.NONE, outcome)
            }
            if (trial.add(mapOf(stratum to both), event.atMillis) is Finding.Worse) return event.atMillis
        }
        return null
    }

    private fun ended(event: JournalEvent): Pair<ServerEvent, Int>? = when (event) {
        is ServerEvent.Finished -> event to event.status
        is ServerEvent.Refused -> event to event.status
        else -> null
    }

    /** The time of the commit that ended the move. */
    val endMillis: Long? get() = commits.firstOrNull {
        it.second.moves[CLASS]?.state != VersionMove.State.RUNNING
    }?.first

    fun check(): CheckReport = InvariantChecker(journal.events()).check()

    private fun commit(update: CatalogueUpdate): Either<Problem, Long> {
        if (update.expectedVersion != catalogue.value.version) {
            return Problem(ErrorKind.VersionConflict, "version ${catalogue.value.version}").left()
        }
        val next = catalogue.value.apply(update).fold({
            return Problem(ErrorKind.InvalidCatalogue, "$it").left()
        }) { it }
        catalogue.value = next
        commits += journal.now() to next
        return next.version.right()
    }

    private fun entry(version: VersionName, number: Int) = CatalogueEntry(
        name = EntryName("lookup-$version"),
        owner = Workspace("w"),
        requestClass = CLASS,
        kind = ServiceKind.PLAIN,
        version = version,
        limits = ClassLimits(maxInFlight = 16, rampMillis = RAMP_MILLIS, firstByteMillis = FIRST_BYTE_MILLIS),
        servers = (0 until 3).map {
            BackendServer(BackendServerId("$version-$it"), domains[it], "http://10.0.$number.$it:80")
        },
    )

    private class Directory(private val view: StateFlow<Catalogue?>) : ServerDirectory {
        override fun candidates(requestClass: RequestClass) = all().filter { it.entry.requestClass == requestClass }

        override fun find(id: BackendServerId) = all().firstOrNull { it.server.id == id }

        override fun all(): List<ListedServer> = view.value?.entries?.values.orEmpty().flatMap { entry ->
            entry.servers.map { ListedServer(it, entry, ListedServer.State.InService) }
        }
    }

    private inner class Places : Reservations {
        override suspend fun reserve(
            server: BackendServer,
            request: RequestId,
            remaining: Duration,
            wait: Duration,
            worth: Double,
        ): Either<Denied, Grant> {
            delay(1.milliseconds)
            val limit = backends.server(server.id.value).limit
            val used = places[server.id] ?: 0
            if (used >= limit) return Denied(DenyReason.FULL, used, limit).left()
            places[server.id] = used + 1
            return object : Grant {
                private var isHeld = true

                override fun isUsable() = isHeld

                override fun release(outcome: AttemptOutcome) {
                    if (isHeld) places.merge(server.id, -1, Int::plus)
                    isHeld = false
                }
            }.right()
        }
    }

    private object NoOnce : OnceRegistry {
        override suspend fun mayHaveRun(request: ServeRequest): Boolean = false

        override suspend fun begin(request: ServeRequest): OnceDecision =
            OnceDecision.Refused(Problem(ErrorKind.StoreUnavailable, "not played here"))
    }

    companion object {
        val CLASS = RequestClass("lookup")
        val OLD = VersionName("v1")
        val NEW = VersionName("v2")
        const val ROUTE = "/timetable"
        const val RARE_ROUTE = "/eligibility"
        const val RAMP_MILLIS = 10_000L
        const val FIRST_BYTE_MILLIS = 200L
        val DEADLINE = 5.seconds
    }
}
