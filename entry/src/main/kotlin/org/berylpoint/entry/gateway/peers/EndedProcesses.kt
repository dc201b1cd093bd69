package org.berylpoint.entry.gateway.peers

import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.ProcessPart
import org.berylpoint.peer.WindowPart

/** Last reports of processes that have ended; their usage still counts in its windows. */
internal class EndedProcesses {
    private data class Process(val name: String, val startedAtMillis: Long)

    private val reports = LinkedHashMap<Process, NodeReport>()

    /** Keeps the last [report] that came from a process itself. */
    fun record(report: NodeReport) {
        reports[Process(report.name, report.startedAtMillis)] = report
        if (reports.size > MAX_PROCESSES) reports.remove(reports.keys.first())
    }

    /** Takes in what another instance knows of an ended process; of two accounts the one that counts more is later. */
    fun merge(part: ProcessPart) {
        val known = reports[Process(part.name, part.startedAtMillis)]
        if (known != null && requests(known.usage) >= requests(part.usage)) return
        val report = known ?: NodeReport(part.name, domain = "", part.startedAtMillis, sequence = 0, wallMillis = 0)
        record(report.copy(usage = part.usage))
    }

    /** The reports of all processes but those of [alive], which were silent for a time only. */
    fun reportsExcept(alive: Collection<NodeReport>): List<NodeReport> {
        val processes = alive.map { Process(it.name, it.startedAtMillis) }.toSet()
        return reports.filterKeys { it !in processes }.values.toList()
    }

    private fun requests(usage: List<WindowPart>): Long = usage.sumOf { it.counts.values.sum() }

    private companion object {
        const val MAX_PROCESSES = 64
    }
}
