package org.berylpoint.testkit.proofs

import arrow.core.Either
import arrow.core.right
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.withTimeoutOrNull
import org.berylpoint.entry.backend.BackendCall
import org.berylpoint.entry.backend.BackendEvent
import org.berylpoint.entry.backend.LiveServerDirectory
import org.berylpoint.entry.catalogue.CatalogueSource
import org.berylpoint.entry.member.DomainEpochs
import org.berylpoint.entry.member.Membership
import org.berylpoint.entry.node.NodeContext
import org.berylpoint.entry.ownership.Grant
import org.berylpoint.entry.ownership.PeerReservations
import org.berylpoint.entry.ownership.ServerConcurrencyLimiter
import org.berylpoint.model.BackendServer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueEntry
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.model.ClassLimits
import org.berylpoint.model.EntryName
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.InstanceId
import org.berylpoint.model.Problem
import org.berylpoint.model.RequestClass
import org.berylpoint.model.RequestId
import org.berylpoint.model.ServiceKind
import org.berylpoint.model.VersionName
import org.berylpoint.model.Workspace
import org.berylpoint.peer.AttemptOutcome
import org.berylpoint.peer.PeerMessage
import org.berylpoint.policy.Rendezvous
import org.berylpoint.testkit.rig.Machine
import org.berylpoint.testkit.rig.Rig
import org.berylpoint.testkit.rig.context
import org.berylpoint.testkit.standin.Carrying
import org.berylpoint.testkit.standin.EngineSpeed
import org.berylpoint.testkit.standin.FakeBackends
import org.berylpoint.testkit.standin.FakeModelEngine
import org.berylpoint.testkit.standin.FakeText
import org.berylpoint.testkit.standin.Fault
import org.berylpoint.testkit.standin.Journal
import org.berylpoint.testkit.standin.MemoryInstances
import org.berylpoint.testkit.standin.MemoryObjects
import org.berylpoint.testkit.standin.MemoryTable
import org.berylpoint.testkit.standin.SceneEvent
import org.berylpoint.testkit.standin.ServerEvent
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class FixedCatalogue(catalogue: Catalogue) : CatalogueSource {
    override val current = MutableStateFlow<Catalogue?>(catalogue)

    override suspend fun submit(update: CatalogueUpdate): Either<Problem, Long> = update.expectedVersion.right()
}

/**
 * The load accounting of one entry instance, with callers that send chat requests of one class as fast as they may.
 *
 * A request takes 0.6 s to 4.5 s, so that many of them outlive a change of ownership.
 */
internal class LoadNode(val machine: Machine, private val site: LoadSite) {
    val id: InstanceId = machine.instance.id
    val catalogue = FixedCatalogue(site.catalogue)
    private val context: NodeContext = site.contextOf(machine)
    val membership = Membership(context)
    val epochs = DomainEpochs(context, membership.view, membership::markDeparted)
    val directory = LiveServerDirectory(context, catalogue)
    val concurrencyLimiter = ServerConcurrencyLimiter(context, membership.view, epochs, directory)
    val reservations = PeerReservations(context, membership.view, epochs, directory, concurrencyLimiter)
    private var running = 0
    private var count = 0

    init {
        membership.attach(epochs)
        membership.attach(concurrencyLimiter)
        machine.network.serve { from, message ->
            membership.handle(message) ?: concurrencyLimiter.handle(from, message) ?: PeerMessage.Refusal("unknown")
        }
        membership.start()
        epochs.start()
        directory.start()
        concurrencyLimiter.start()
        reservations.start()
        repeat(site.callers) { machine.scope.launch { call() } }
    }

    /** Ends the callers of this instance once their requests have ended. */
    fun pauseCallers() {
        isStopping = true
    }

    /** Stops as an instance does that leaves: hands over, lets its requests end, then says that it has gone. */
    suspend fun stop() {
        isStopping = true
        concurrencyLimiter.stop()
        epochs.leave()
        while (running > 0) delay(100.milliseconds)
        membership.leave()
        machine.kill()
    }

    private var isStopping = false

    private suspend fun call() {
        while (!isStopping) {
            delay(machine.random.nextLong(1, 60).milliseconds)
            val candidate = directory.candidates(site.requestClass).randomOrNull(machine.random) ?: continue
            val request = RequestId("$id-${count++}")
            running++
            val wait = machine.random.nextLong(0, 2_000).milliseconds
            val deadline = site.rig.time.markNow() + DEADLINE
            reservations.reserve(candidate.server, request, DEADLINE, wait, 1.0).onRight { grant ->
                send(candidate.server, request, grant, deadline)
            }
            running--
        }
    }

    private suspend fun send(server: BackendServer, request: RequestId, grant: Grant, deadline: ComparableTimeMark) {
        if (!grant.isUsable()) return grant.release(AttemptOutcome.NOT_SENT)
        val start = site.rig.time.markNow()
        val body = FakeText.request("chat", request.value, "asks", machine.random.nextInt(5, 30))
        val path = FakeModelEngine.CHAT_PATH
        val call = BackendCall(request, "1", "POST", path, "application/json", body, null, true, DEADLINE)
        var firstByte: Duration? = null
        var outcome = AttemptOutcome.CANCELLED
        val ended = withTimeoutOrNull(-deadline.elapsedNow()) {
            context.backends.send(server, call).collect { event ->
                if (event is BackendEvent.Data && firstByte == null) firstByte = start.elapsedNow()
                if (event is BackendEvent.Broken) outcome = AttemptOutcome.FAILED
                if (event is BackendEvent.End) outcome = AttemptOutcome.COMPLETED
            }
        }
        val isSlow = (firstByte ?: DEADLINE) > site.limits.firstByteMillis.milliseconds * 2
        grant.release(if (isSlow || ended == null) AttemptOutcome.SLOW else outcome)
    }

    private companion object {
        val DEADLINE = 8.seconds
    }
}

/** A site of entry instances and stand-in engines, in virtual time and over in-memory links. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class LoadSite(
    private val test: TestScope,
    seed: Int,
    domains: Map<String, Int>,
    serversPerDomain: Int = 2,
    startsWarm: Boolean = false,
    /** Callers per entry instance. */
    val callers: Int = 6,
) {
    val rig = Rig(test, seed)
    val journal = Journal.on(rig.time)
    val table = MemoryTable(test.backgroundScope)
    val instances = MemoryInstances(rig.time, test.backgroundScope)
    private val objects = MemoryObjects()
    val backends = FakeBackends(Random(seed))
    val requestClass = RequestClass("chat")
    val limits = ClassLimits(
        maxInFlight = 8,
        rampStart = 1,
        rampMillis = 30_000,
        maxRunMillis = 10_000,
        firstByteMillis = 500,
    )
    private val entry = EntryName("chat-1")
    val catalogue = Catalogue(
        version = 1,
        entries = mapOf(
            entry to CatalogueEntry(
                entry,
                Workspace("w"),
                requestClass,
                ServiceKind.MODEL,
                VersionName("1"),
                limits,
            ),
        ),
    )
    val nodes = linkedMapOf<String, LoadNode>()
    private val servers = domains.keys.flatMap { domain -> (1..serversPerDomain).map { "$domain-s$it" to domain } }

    init {
        servers.forEach { (id, domain) ->
            val server = BackendServer(BackendServerId(id), FailureDomain(domain), "http://$id")
            val speed = EngineSpeed(slots = 16, tokenMillis = 100.0)
            val carrying = Carrying(cold = 1, warm = 8, warmupMillis = 30_000)
            backends.add(
                FakeModelEngine(
                    server,
                    VersionName("1"),
                    journal,
                    test.backgroundScope,
                    Random(seed),
                    speed,
                    carrying,
                    startsWarm = startsWarm,
                ),
            )
            instances.put(entry, server)
        }
        domains.forEach { (domain, count) -> (1..count).forEach { node("$domain-e$it", domain) } }
    }

    fun node(id: String, domain: String): LoadNode =
        LoadNode(rig.machine(id, FailureDomain(domain)), this).also { nodes[id] = it }

    fun contextOf(machine: Machine): NodeContext {
        val id = machine.instance.id
        val seeds = nodes.values.map { it.machine.instance.peerAddress }.take(3)
        return rig.context(
            machine,
            table.caller(id),
            objects,
            instances.caller(id),
            backends.viewFor(machine.instance),
            seeds,
        )
    }

    fun cutFromPlatform(node: String) {
        table.faults[InstanceId(node)] = Fault.CALLS_LOST
        instances.faults[InstanceId(node)] = Fault.CALLS_LOST
    }

    fun reachPlatform(node: String) {
        table.faults[InstanceId(node)] = Fault.NONE
        instances.faults[InstanceId(node)] = Fault.NONE
    }

    /** The node that owns [server] while all [nodes] are members. */
    fun ownerOf(server: String): LoadNode {
        val domain = server.substringBefore("-s")
        val members = nodes.values.filter { it.machine.instance.failureDomain.name == domain && it.machine.isAlive }
        return checkNotNull(Rendezvous.first(server, members) { it.id.value })
    }

    fun accepted(): List<ServerEvent.Accepted> = journal.events().filterIsInstance<ServerEvent.Accepted>()

    /** Calls that a server took although it carried no more at that time. */
    fun overLimit(): List<ServerEvent.Accepted> = accepted().filter { it.inFlight > it.limit }

    fun acceptedBetween(from: Duration, to: Duration): List<ServerEvent.Accepted> =
        accepted().filter { it.atMillis.milliseconds in from..to }

    fun note(event: (Long) -> SceneEvent) = journal.add(event(journal.now()))
}
