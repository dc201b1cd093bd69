package org.berylpoint.entry.gateway.peers

import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.ProcessPart
import org.berylpoint.peer.WindowPart

/** The last reports of processes that have ended, whose usage still counts in its windows. */
internal class EndedProcesses {
    private data class ProcessKey(val name: String, val startedAtMillis: Long)

    private val reports = LinkedHashMap<ProcessKey, NodeReport>()

    /** Records [report] as the last one of its process. Beyond [MAX_PROCESSES], the earliest recorded is dropped. */
    fun record(report: NodeReport) {
        reports[ProcessKey(report.name, report.startedAtMillis)] = report
        if (reports.size > MAX_PROCESSES) reports.remove(reports.keys.first())
    }

    /**
     * Merges the usage that another instance has recorded for an ended process. Counters only grow, so of two records
     * the one with the higher total is the later one and is kept.
     */
    fun merge(part: ProcessPart) {
        val recorded = reports[ProcessKey(part.name, part.startedAtMillis)]
        if (recorded != null && requestCount(recorded.usage) >= requestCount(part.usage)) return
        val report = recorded ?: NodeReport(part.name, domain = "", part.startedAtMillis, sequence = 0, wallMillis = 0)
        record(report.copy(usage = part.usage))
    }

    /** The reports of all recorded processes except those of [alive], which had only been silent for a time. */
    fun reportsExcept(alive: Collection<NodeReport>): List<NodeReport> {
        val processes = alive.map { ProcessKey(it.name, it.startedAtMillis) }.toSet()
        return reports.filterKeys { it !in processes }.values.toList()
    }

    private fun requestCount(usage: List<WindowPart>): Long = usage.sumOf { it.counts.values.sum() }

    private companion object {
        const val MAX_PROCESSES = 64
    }
}
