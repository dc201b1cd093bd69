package org.berylpoint.bench.control

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.berylpoint.bench.Plot
import org.berylpoint.bench.Report
import org.berylpoint.bench.Scenario
import org.berylpoint.testkit.rig.Site
import org.berylpoint.testkit.rig.SitePlan
import java.lang.management.ManagementFactory
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * What control costs one node at 10, 30 and 100 nodes with three backend servers each and no requests: encoded bytes
 * and messages sent, calls to the platform, processor time and heap.
 *
 * All nodes run in one thread on virtual time; the processor time includes the rig and its encoding of messages.
 */
internal object ControlCost : Scenario {
    private val WINDOW = 30.seconds
    private const val SERVERS_PER_NODE = 3

    /** Stated limits per node at the target scale. */
    private const val MAX_BYTES_PER_SECOND = 21_000.0
    private const val MAX_CORE_PERCENT = 1.5

    override val name: String = "control-cost"

    override fun run(seed: Int): Report {
        val rows = listOf(10, 30, 100).map { measure(seed, it) }
        val columns = listOf(
            "nodes",
            "bytes_per_s",
            "messages_per_s",
            "table_calls_per_s",
            "list_reads_per_s",
            "core_percent",
            "heap_mb",
        )
        val broken = rows.flatMap { row ->
            listOfNotNull(
                "${row[0]} nodes: ${row[1]} B/s per node, limit $MAX_BYTES_PER_SECOND"
                    .takeIf { row[1] as Double > MAX_BYTES_PER_SECOND },
                "${row[0]} nodes: ${row[5]}% of a core per node, limit $MAX_CORE_PERCENT"
                    .takeIf { row[5] as Double > MAX_CORE_PERCENT },
            )
        }
        return Report(name, columns, rows, broken, Plot("nodes", listOf("bytes_per_s")))
    }

    private fun measure(seed: Int, nodes: Int): List<Any> {
        lateinit var row: List<Any>
        runTest(timeout = 10.minutes) {
            val before = usedHeap()
            val plan = SitePlan(instances = nodes, engines = nodes * SERVERS_PER_NODE, plainServers = 1)
            val site = Site(this, seed, plan)
            site.startUp()
            delay(10.seconds)
            val bytes = site.nodes.sumOf { it.machine.network.bytesSent }
            val messages = site.nodes.sumOf { it.machine.network.messagesSent }
            val tableCalls = site.table.faults.count()
            val listReads = site.instances.faults.count()
            val cpu = cpuNanos()
            delay(WINDOW)
            val perNodeSecond = nodes * WINDOW.inWholeSeconds.toDouble()
            row = listOf(
                nodes,
                (site.nodes.sumOf { it.machine.network.bytesSent } - bytes) / perNodeSecond,
                (site.nodes.sumOf { it.machine.network.messagesSent } - messages) / perNodeSecond,
                (site.table.faults.count() - tableCalls) / perNodeSecond,
                (site.instances.faults.count() - listReads) / perNodeSecond,
                (cpuNanos() - cpu) / perNodeSecond / NANOS_PER_PERCENT,
                (usedHeap() - before) / nodes / BYTES_PER_MB,
            )
        }
        return row
    }

    private fun cpuNanos() = ManagementFactory.getThreadMXBean().currentThreadCpuTime

    // The heap in use is only comparable right after a collection.
    @Suppress("ExplicitGarbageCollectionCall")
    private fun usedHeap(): Double {
        System.gc()
        return Runtime.getRuntime().let { (it.totalMemory() - it.freeMemory()).toDouble() }
    }

    // One percent of a core for one second.
    private const val NANOS_PER_PERCENT = 1e7
    private const val BYTES_PER_MB = 1e6
}
