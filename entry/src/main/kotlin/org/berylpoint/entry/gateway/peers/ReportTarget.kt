package org.berylpoint.entry.gateway.peers

/** An instance to which the next report goes. */
internal data class ReportTarget(val address: String, val needs: ReportNeeds)

/** What the receiver of a report needs beyond the parts that all get. */
internal enum class ReportNeeds {
    /** Nothing: its process has run for long enough to know the rest. */
    NOTHING,

    /** Totals of the windows of caps, which its new process can't know. */
    WINDOW_TOTALS,

    /** Also the usage of processes that ended before its process started; a few instances send it. */
    SILENT_PROCESSES,
}
