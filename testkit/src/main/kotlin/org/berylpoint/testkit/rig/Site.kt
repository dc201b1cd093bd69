package org.berylpoint.testkit.rig

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.withContext
import org.berylpoint.entry.node.EntryNode
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueChange
import org.berylpoint.model.CatalogueEntry
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.Problem
import org.berylpoint.model.ServiceKind
import org.berylpoint.testkit.check.CheckReport
import org.berylpoint.testkit.check.InvariantChecker
import org.berylpoint.testkit.standin.Carrying
import org.berylpoint.testkit.standin.FakeBackends
import org.berylpoint.testkit.standin.FakeModelEngine
import org.berylpoint.testkit.standin.FakePlainService
import org.berylpoint.testkit.standin.Fault
import org.berylpoint.testkit.standin.Journal
import org.berylpoint.testkit.standin.MemoryInstances
import org.berylpoint.testkit.standin.MemoryObjects
import org.berylpoint.testkit.standin.MemoryTable
import org.berylpoint.testkit.standin.SceneEvent
import kotlin.coroutines.ContinuationInterceptor
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A whole site in virtual time: entry instances with their full logic, the platform's stand-ins, model engines, plain
 * services and callers, all on one seed.
 *
 * ```
 * runTest {
 *     val site = Site(this, seed = 1)
 *     site.startUp()
 *     site.caller.chat(site.nodes.first(), "c1", "hello", tokens = 20)
 *     site.check().violations shouldBe emptyList()
 * }
 * ```
 */
public class Site(private val test: TestScope, seed: Int, public val plan: SitePlan = SitePlan()) {
    /** Links and machines. */
    public val rig: Rig = Rig(test, seed)

    /** What servers and callers did, and what happened to them. */
    public val journal: Journal = Journal.on(rig.time)
    public val table: MemoryTable = MemoryTable(test.backgroundScope)
    public val objects: MemoryObjects = MemoryObjects(test.backgroundScope)
    public val instances: MemoryInstances = MemoryInstances(rig.time, test.backgroundScope)
    public val backends: FakeBackends = FakeBackends(Random(seed), linkDelay = 1.milliseconds)
    public val caller: SiteCaller = SiteCaller(this)

    /** Random choices of the scene, such as which instance a caller is sent to. */
    public val random: Random = Random(seed)
    private val started = mutableListOf<SiteNode>()

    /** All entry instances, killed ones included, in the order of their start. */
    public val nodes: List<SiteNode> get() = started

    /** The running entry instances. */
    public val running: List<SiteNode> get() = started.filter { it.machine.isAlive }

    /** Starts all instances and servers, puts the entries into force and waits until it is in force everywhere. */
    public suspend fun startUp(entries: List<CatalogueEntry> = listOf(plan.chatEntry(), plan.bookingEntry())) {
        repeat(plan.instances) { start("entry-$it", plan.domainOf(it)) }
        entries.forEach { addServers(it) }
        delay(SETTLE)
        apply(entries.map { CatalogueChange.PutEntry(it) })
        delay(SETTLE)
    }

    /** Starts an entry instance; [id] must be new. */
    public fun start(id: String, domain: FailureDomain): SiteNode {
        val machine = rig.machine(id, domain)
        val self = machine.instance
        val context = rig.context(
            machine = machine,
            table = table.caller(self.id),
            objects = objects.caller(self.id),
            instances = instances.caller(self.id),
            backends = backends.viewFor(self),
            seeds = listOf("entry-0:1", "entry-1:1", "entry-2:1"),
        )
        val node = EntryNode(context)
        instances.put(self.id, self.peerAddress)
        node.start(context)
        return SiteNode(machine, node).also { started += it }
    }

    /** Starts stand-in servers for [entry]; fresh ones are cold. */
    public fun addServers(entry: CatalogueEntry, areWarm: Boolean = true) {
        entry.servers.forEach { server ->
            val limits = entry.limits
            val carrying = Carrying(limits.rampStart, limits.maxInFlight, limits.rampMillis)
            val scope = test.backgroundScope
            val random = Random(random.nextLong())
            backends.add(
                when (entry.kind) {
                    ServiceKind.MODEL -> FakeModelEngine(
                        server,
                        entry.version,
                        journal,
                        scope,
                        random,
                        carrying = carrying,
                        startsWarm = areWarm,
                    )

                    ServiceKind.PLAIN -> FakePlainService(
                        server,
                        entry.version,
                        journal,
                        scope,
                        random,
                        carrying = carrying,
                        startsWarm = areWarm,
                    )
                },
            )
        }
    }

    /** Commits [changes] through a running instance. */
    public suspend fun apply(changes: List<CatalogueChange>, through: SiteNode = running.first()): Long {
        var result: Any? = null
        repeat(APPLY_TRIES) {
            val version = running.maxOf { it.node.catalogue.current.value?.version ?: 0 }
            val update = CatalogueUpdate(version, changes, author = "test")
            through.onNode { it.catalogue.submit(update) }.fold({ result = it }, { return it })
            delay(APPLY_PAUSE)
        }
        error("the update was not accepted: ${(result as Problem).detail}")
    }

    /** Kills the process of an entry instance: its connections close and its port refuses. */
    public fun kill(node: SiteNode) {
        val id = node.machine.instance.id
        // A dead process makes no more calls, whatever its cancelled coroutines still try.
        table.faults[id] = Fault.DOWN
        objects.faults[id] = Fault.DOWN
        node.machine.kill()
    }

    /** Stops an entry instance gracefully and ends its process. */
    public suspend fun stop(node: SiteNode, notice: Duration) {
        node.onNode { it.stop(notice) }
        kill(node)
    }

    /** Takes a failure domain out of service. */
    public suspend fun takeOut(domain: FailureDomain) {
        apply(listOf(CatalogueChange.TakeOut(domain)))
        journal.add(SceneEvent.DomainTakenOut(journal.now(), domain.name))
    }

    /** Brings a failure domain back into service. */
    public suspend fun bringBack(domain: FailureDomain) {
        journal.add(SceneEvent.DomainBroughtBack(journal.now(), domain.name))
        apply(listOf(CatalogueChange.BringBack(domain)))
    }

    /** The catalogue in force on [node]. */
    public fun catalogueOf(node: SiteNode): Catalogue? = node.node.catalogue.current.value

    /** Does [begin] now and [end] after [time]. */
    public fun later(time: Duration, begin: () -> Unit, end: () -> Unit) {
        begin()
        test.backgroundScope.launch {
            delay(time)
            end()
        }
    }

    /** Does [stop] and then starts another entry instance in the domain of the last one gone, as the platform does. */
    public suspend fun replaceAfter(stop: suspend () -> Unit) {
        val before = running
        test.backgroundScope.launch {
            stop()
            val gone = before.first { !it.machine.isAlive }
            delay(REPLACED_AFTER)
            start("entry-${nodes.size}", gone.machine.instance.failureDomain)
        }
    }

    /** Judges all journals so far. */
    public fun check(): CheckReport = InvariantChecker(journal.events()).check()

    private companion object {
        val SETTLE = 6.seconds
        val REPLACED_AFTER = 4.seconds
        const val APPLY_TRIES = 20
        val APPLY_PAUSE = 300.milliseconds
    }
}

/** One entry instance of a [Site]. */
public class SiteNode internal constructor(public val machine: Machine, public val node: EntryNode) {
    /** Runs [block] on the dispatcher of the node, as the process does for calls from outside. */
    public suspend fun <T> onNode(block: suspend (EntryNode) -> T): T {
        val dispatcher = checkNotNull(machine.scope.coroutineContext[ContinuationInterceptor])
        return withContext(dispatcher) { block(node) }
    }
}
