package org.berylpoint.testkit.catalogue

import arrow.core.Either
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import org.berylpoint.entry.catalogue.CatalogueSync
import org.berylpoint.entry.member.Membership
import org.berylpoint.model.BackendServer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.CatalogueChange
import org.berylpoint.model.CatalogueEntry
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.model.ClassLimits
import org.berylpoint.model.EntryName
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.InstanceId
import org.berylpoint.model.Problem
import org.berylpoint.model.RequestClass
import org.berylpoint.model.ServiceKind
import org.berylpoint.model.VersionName
import org.berylpoint.model.Workspace
import org.berylpoint.peer.PeerMessage
import org.berylpoint.platform.PlatformError
import org.berylpoint.platform.Row
import org.berylpoint.platform.RowKey
import org.berylpoint.platform.TableService
import org.berylpoint.testkit.rig.AbsentBackends
import org.berylpoint.testkit.rig.AbsentPlatform
import org.berylpoint.testkit.rig.Machine
import org.berylpoint.testkit.rig.Rig
import org.berylpoint.testkit.rig.context
import org.berylpoint.testkit.standin.MemoryObjects
import org.berylpoint.testkit.standin.MemoryTable
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** [version] came into force on [machine] at the time [at]. */
internal data class VersionActivation(val machine: Machine, val version: Long, val at: ComparableTimeMark)

/** Entry instances that run only membership and the catalogue, in four failure domains and with one table. */
internal class CatalogueTestCluster(test: TestScope, seed: Int, count: Int = 12) {
    val rig = Rig(test, seed)
    val table = MemoryTable(test.backgroundScope)
    val objects = MemoryObjects(test.backgroundScope)
    val staleTable = StaleReadTable(table, rig, test.backgroundScope)
    val nodes = mutableMapOf<InstanceId, Node>()
    val activations = mutableListOf<VersionActivation>()

    init {
        repeat(count) { start("n$it", domains[it % domains.size]) }
    }

    val alive: List<Node> get() = nodes.values.filter { it.machine.isAlive }

    fun node(id: String): Node = nodes.getValue(InstanceId(id))

    fun start(id: String, domain: FailureDomain): Node {
        val machine = rig.machine(id, domain)
        val ownTable = staleTable.caller(machine.instance.id)
        // A restarted process keeps its address, but a restarted machine of the rig gets a new one; the seeds therefore
        // include machines that run now.
        val seeds = listOf("n0:1", "n1:1", "n2:1") + alive.take(3).map { it.machine.instance.peerAddress }
        val context =
            rig.context(machine, ownTable, objects.caller(machine.instance.id), AbsentPlatform, AbsentBackends, seeds)
        val membership = Membership(context)
        val sync = CatalogueSync(context, membership.view, ownTable)
        membership.attach(sync)
        machine.network.serve { from, message ->
            membership.handle(message) ?: sync.handle(from, message) ?: PeerMessage.Refusal("unknown")
        }
        membership.start()
        sync.start()
        machine.scope.launch {
            sync.current.collect { catalogue ->
                if (catalogue != null) activations += VersionActivation(machine, catalogue.version, rig.time.markNow())
            }
        }
        return Node(machine, membership, sync).also { nodes[machine.instance.id] = it }
    }

    /** The versions in force on [among], by instance id; null where none is. */
    fun versions(among: Collection<Node> = alive): Map<String, Long?> =
        among.associate { it.machine.instance.id.value to it.version }

    /** Activations of a version on a machine that had a higher one before. */
    fun versionRegressions(): List<VersionActivation> = activations.groupBy { it.machine }.values
        .flatMap { history -> history.zipWithNext().filter { (a, b) -> b.version < a.version }.map { it.second } }

    internal class Node(val machine: Machine, val membership: Membership, val sync: CatalogueSync) {
        val version: Long? get() = sync.current.value?.version

        suspend fun submit(vararg changes: CatalogueChange): Either<Problem, Long> =
            sync.submit(CatalogueUpdate(version ?: 0, changes.toList()))
    }

    companion object {
        val domains = listOf("muc-a", "muc-b", "aug-a", "rgb-a").map(::FailureDomain)

        fun entry(name: String, version: String = name): CatalogueEntry {
            val servers = domains.mapIndexed { index, domain ->
                val port = 1_024 + (name.hashCode().mod(15_000)) * 4 + index
                BackendServer(BackendServerId("$name-$domain"), domain, "http://10.0.0.1:$port")
            }
            return CatalogueEntry(
                EntryName(name),
                Workspace("lechfeld"),
                RequestClass("chat"),
                ServiceKind.MODEL,
                VersionName(version),
                ClassLimits(maxInFlight = 8),
                servers,
            )
        }

        fun put(name: String): CatalogueChange = CatalogueChange.PutEntry(entry(name))
    }
}

/** A view of [table] whose reads return its content as of [readLag] ago; writes are not delayed. */
internal class StaleReadTable(private val table: MemoryTable, private val rig: Rig, scope: CoroutineScope) {
    private val history = ArrayDeque<Pair<ComparableTimeMark, Map<RowKey, Row>>>()

    /** Age of the content that reads return; zero for current reads. */
    var readLag: Duration = Duration.ZERO

    init {
        // Samples the table every 10 ms, because a delayed write can take effect after its call has returned.
        scope.launch {
            var lastCount = -1L
            while (isActive) {
                if (table.transactions != lastCount) history.addLast(rig.time.markNow() to table.content)
                lastCount = table.transactions
                delay(10.milliseconds)
            }
        }
    }

    fun caller(id: InstanceId): TableService = View(table.caller(id))

    private fun pastContent(): Map<RowKey, Row> {
        val at = rig.time.markNow() - readLag
        return history.lastOrNull { it.first <= at }?.second.orEmpty()
    }

    private inner class View(private val service: TableService) : TableService by service {
        override suspend fun get(key: RowKey): Either<PlatformError, Row?> {
            val now = service.get(key)
            return if (readLag.isPositive()) now.map { pastContent()[key] } else now
        }

        override suspend fun query(partition: String, after: String, limit: Int): Either<PlatformError, List<Row>> {
            val now = service.query(partition, after, limit)
            if (!readLag.isPositive()) return now
            val rows = pastContent().values.filter { it.key.partition == partition && it.key.sort > after }
            return now.map { rows.sortedBy { row -> row.key.sort }.take(limit) }
        }
    }
}
