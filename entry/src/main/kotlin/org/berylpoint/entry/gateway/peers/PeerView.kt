package org.berylpoint.entry.gateway.peers

import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.ProcessPart
import org.berylpoint.peer.ReportSocket
import org.berylpoint.peer.completedBy
import org.berylpoint.policy.Rendezvous
import org.berylpoint.policy.duty.medianClockOffset

/**
 * The newest report of each other instance, and what is derived from these reports. Instances that are registered in
 * the store but have not reported yet are included.
 */
public class PeerView(private val self: String, private val clocks: Clocks, private val log: DecisionLog) {
    /** One process of another instance. */
    private class Peer(
        val name: String,
        var address: String,
        var report: NodeReport?,
        /** Steady-clock time of the newest report; until the first one, of adding the peer. */
        var lastReportAtMillis: Long,
        /** Offset from this process's steady clock to the peer's wall clock. */
        var wallOffsetMillis: Long,
    )

    private val peers = HashMap<String, Peer>()

    private val forgotten = ForgottenPeers()

    private val ended = EndedProcesses()

    /** Whether the list of instances was read from the store, so that no instance registered before is missing. */
    @Volatile
    public var isPeerListLoaded: Boolean = false
        internal set

    private var live: List<NodeReport> = emptyList()

    /** Whether a report has arrived since [live] was computed: most reports come and go without a look at the list. */
    private var isLiveOutdated = false

    /** Adds an instance that is registered in the store. */
    @Synchronized
    public fun add(name: String, address: String) {
        if (name == self) return
        val peer = peers[name]
        if (peer == null) peers[name] = Peer(name, address, null, clocks.steadyMillis, 0)
        // The row that a restored store shows may be older than the address that the peer has told.
        if (peer != null && peer.report == null) peer.address = address
        forgotten.remove(name)
    }

    /**
     * Records [report], completed with parts of the one before it, and returns it with [NodeReport.admitted] reduced to
     * what the sender admitted since then; null if [report] is not newer.
     */
    @Synchronized
    public fun accept(report: NodeReport): NodeReport? {
        if (report.name == self) return null
        val now = clocks.steadyMillis
        val peer = peers.getOrPut(report.name) { Peer(report.name, report.address, null, now, 0) }
        val last = peer.report
        if (last != null && !isNewer(report, last)) return null
        if (last != null && last.startedAtMillis != report.startedAtMillis) ended.record(last)
        report.silentProcesses.filterNot(::isReporting).forEach(ended::merge)
        if (last == null || now - peer.lastReportAtMillis > silenceTimeoutMillis()) {
            log.event("peer", "an instance is heard", "peer" to report.name, "address" to report.address)
        }
        forgotten.remove(report.name)
        val previous = last?.takeIf { it.startedAtMillis == report.startedAtMillis }
        val complete = report.completedBy(previous)
        peer.report = complete
        peer.address = report.address
        peer.lastReportAtMillis = now
        peer.wallOffsetMillis = report.wallMillis - now
        isLiveOutdated = true
        return complete.copy(
            admitted = if (previous == null) recentlyAdmitted(report) else admittedSince(previous, report),
        )
    }

    private fun admittedSince(previous: NodeReport, report: NodeReport): Map<String, Double> =
        report.admitted.mapValues { (name, sum) -> sum - (previous.admitted[name] ?: 0.0) }

    /**
     * Estimates what a process whose first report is [report] admitted lately. Its counters go back to its start, so
     * only their average over one cap window counts; the whole sum would use up every cap at once.
     */
    private fun recentlyAdmitted(report: NodeReport): Map<String, Double> {
        val age = processAgeMillis(report)
        val recentShare = (RECENT_ADMISSION_MILLIS / maxOf(age, 1L).toDouble()).coerceAtMost(1.0)
        return report.admitted.mapValues { (_, sum) -> sum * recentShare }
    }

    /** Age of the process that sent [report], estimated from the number of its reports. */
    private fun processAgeMillis(report: NodeReport): Long = report.sequence * reportIntervalMillis(peers.size)

    /** Whether the process of a live instance started less than [millis] ago. */
    @Synchronized
    public fun hasProcessYoungerThan(millis: Long): Boolean = liveReports.any { processAgeMillis(it) < millis }

    /** Removes instances that have been silent for [PEER_EXPIRY_MILLIS], and refreshes the list of live ones. */
    @Synchronized
    public fun removeExpiredPeers() {
        val now = clocks.steadyMillis
        for (peer in peers.values.toList()) {
            val silence = now - peer.lastReportAtMillis
            if (silence > PEER_EXPIRY_MILLIS) {
                peer.report?.let(ended::record)
                peers.remove(peer.name)
                forgotten.add(peer.name, peer.address, now)
                log.event("peer", "an instance is forgotten", "peer" to peer.name, "silence" to silence)
            }
        }
        refreshLiveReports(now)
    }

    /** Newest reports of the live instances, those that have reported within the silence timeout. */
    public val liveReports: List<NodeReport>
        @Synchronized get() {
            if (isLiveOutdated) refreshLiveReports(clocks.steadyMillis)
            return live
        }

    /** Last reports of the known instances that are not among [liveReports], except those that were leaving. */
    @Synchronized
    public fun silentReports(): List<NodeReport> {
        val now = clocks.steadyMillis
        val timeout = silenceTimeoutMillis()
        return peers.values.filter { now - it.lastReportAtMillis >= timeout }.mapNotNull { it.report }
            .filterNot { it.isLeaving }
    }

    /**
     * Newest reports of the instances that have reported within a few report intervals: a stricter selection than
     * [liveReports], for those who depend on an instance that may be gone.
     */
    @Synchronized
    public fun recentReports(): List<NodeReport> {
        val earliest = clocks.steadyMillis - RECENT_INTERVALS * reportIntervalMillis(peers.size)
        return peers.values.filter { it.lastReportAtMillis >= earliest }.mapNotNull { it.report }
    }

    /** Takes the instances to which the next report is sent, silent ones and some of the forgotten ones included. */
    @Synchronized
    internal fun takeTargets(): List<ReportTarget> {
        val settled = liveReports.filterNot(::isNewProcess).map { it.name } + self
        val known = peers.values.map { ReportTarget(it.address, needsOf(it, settled)) }
        return known + forgotten.takeDueAddresses(clocks.steadyMillis).map { ReportTarget(it, ReportNeeds.NOTHING) }
    }

    private fun needsOf(peer: Peer, settled: List<String>): ReportNeeds {
        val report = peer.report
        return when {
            report == null || !isNewProcess(report) -> ReportNeeds.NOTHING
            self in Rendezvous.ranked(peer.name, settled) { it }.take(HELPERS) -> ReportNeeds.SILENT_PROCESSES
            else -> ReportNeeds.WINDOW_TOTALS
        }
    }

    /** Whether the process that sent [report] is too young to know what happened in a window of the caps. */
    private fun isNewProcess(report: NodeReport) = processAgeMillis(report) < RECENT_ADMISSION_MILLIS

    /** Addresses of the live instances of [domain]. */
    @Synchronized
    public fun liveAddressesIn(domain: String): List<String> =
        liveReports.filter { it.domain == domain }.map { it.address }

    /** Names of all instances known, this one included. */
    @Synchronized
    public fun instanceNames(): Set<String> = peers.keys + self

    /**
     * Ages in milliseconds of the newest reports of the other instances that report on time, by instance name. Limits
     * that are shared by reports rely on these instances, not on [liveReports]: an instance that is cut off stays live
     * for the silence timeout, and its counters would be taken to stand still for that long. An age includes the time
     * that the report may have waited before it was handled, so that what was admitted since is not underestimated.
     */
    @Synchronized
    public fun freshReportAgesMillis(): Map<String, Long> {
        val now = clocks.steadyMillis
        val maxAge = reportIntervalMillis(peers.size) * MAX_FRESH_AGE_PERCENT / 100
        return peers.values.filter { it.report != null }
            .associate { it.name to now - it.lastReportAtMillis }
            .filterValues { it <= maxAge }
            .mapValues { it.value + ReportSocket.RECEIVE_INTERVAL_MILLIS }
    }

    /** Number of the other instances known, silent ones included. */
    public val peerCount: Int @Synchronized get() = peers.size

    /** Offset from the steady clock to true time, the median over this instance and the live ones. */
    @Synchronized
    public fun wallClockOffsetMillis(): Long {
        val now = clocks.steadyMillis
        val timeout = silenceTimeoutMillis()
        val livePeers = peers.values.filter { it.report != null && now - it.lastReportAtMillis < timeout }
        return medianClockOffset(livePeers.map { it.wallOffsetMillis } + (clocks.wallMillis - now))
    }

    /** The newest report of every process known, live or ended, with [own] for this one. */
    @Synchronized
    public fun allReports(own: NodeReport): List<NodeReport> {
        val newest = peers.values.mapNotNull { it.report } + own
        return newest + ended.reportsExcept(newest)
    }

    /**
     * Usage of the processes that do not report now; empty unless a live process is too young to have received their
     * reports. When instances are killed together, the one that then reports the usage may be such a new process.
     */
    @Synchronized
    public fun usageOfSilentProcesses(): List<ProcessPart> {
        if (!hasProcessYoungerThan(FULLY_INFORMED_AGE_MILLIS)) return emptyList()
        val now = clocks.steadyMillis
        val timeout = silenceTimeoutMillis()
        val silent = peers.values.filter { now - it.lastReportAtMillis >= timeout }.mapNotNull { it.report }
        return (ended.reportsExcept(liveReports) + silent).takeLast(MAX_SILENT_PROCESSES)
            .map { ProcessPart(it.name, it.startedAtMillis, it.usage) }
    }

    /** Whether the newest report of the instance comes from the process of [part]. */
    private fun isReporting(part: ProcessPart): Boolean =
        peers[part.name]?.report?.startedAtMillis == part.startedAtMillis

    /** Whether each known instance that has not expired has reported since [steadyMillis]. */
    @Synchronized
    public fun allReportedSince(steadyMillis: Long): Boolean =
        peers.values.all { it.lastReportAtMillis >= steadyMillis }

    private fun silenceTimeoutMillis(): Long =
        maxOf(MIN_SILENCE_TIMEOUT_MILLIS, SILENCE_TIMEOUT_INTERVALS * reportIntervalMillis(peers.size))

    private fun refreshLiveReports(now: Long) {
        val timeout = silenceTimeoutMillis()
        live = peers.values.filter { now - it.lastReportAtMillis < timeout }.mapNotNull { it.report }
        isLiveOutdated = false
    }

    private fun isNewer(report: NodeReport, last: NodeReport): Boolean =
        report.startedAtMillis != last.startedAtMillis || report.sequence > last.sequence

    public companion object {
        private const val MIN_REPORT_INTERVAL_MILLIS = 250L
        private const val REPORT_INTERVAL_PER_PEER_MILLIS = 8L

        /** Time between reports. It grows with the number of peers, so that the rate of datagrams sent does not. */
        public fun reportIntervalMillis(peerCount: Int): Long = maxOf(
            MIN_REPORT_INTERVAL_MILLIS,
            REPORT_INTERVAL_PER_PEER_MILLIS * peerCount,
        )

        /** An instance without a report for this long may be down or cut off. */
        private const val MIN_SILENCE_TIMEOUT_MILLIS = 1_000L

        /** The silence timeout in report intervals, where that is longer than [MIN_SILENCE_TIMEOUT_MILLIS]. */
        private const val SILENCE_TIMEOUT_INTERVALS = 4

        /** More than two, so that a lost report is made up for by the next one. */
        private const val RECENT_INTERVALS = 3

        /** Age up to which the newest report is on time, in percent of the time between reports. */
        private const val MAX_FRESH_AGE_PERCENT = 180

        /** An instance without a report for this long is taken to have ended for good. */
        private const val PEER_EXPIRY_MILLIS = 20_000L

        /** Time of admissions that a process is charged with at its first report; about the window of a cap. */
        private const val RECENT_ADMISSION_MILLIS = 8_000L

        /** Age at which a process has received several reports of each instance. */
        private const val FULLY_INFORMED_AGE_MILLIS = 5_000L

        /** Instances that send a new process the usage of ended ones; more than one, since a report may be lost. */
        private const val HELPERS = 2

        /** Keeps a report within one datagram. */
        private const val MAX_SILENT_PROCESSES = 16
    }
}
