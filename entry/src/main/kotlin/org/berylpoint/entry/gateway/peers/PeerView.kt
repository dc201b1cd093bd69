package org.berylpoint.entry.gateway.peers

import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.ProcessPart
import org.berylpoint.policy.duty.medianOffset

/** The newest report of each other instance, and what follows from them. Instances that were not heard yet count. */
public class PeerView(private val self: String, private val clocks: Clocks, private val log: DecisionLog) {
    /** One process of another instance. */
    private class Peer(
        val name: String,
        var address: String,
        var report: NodeReport?,
        var heardAtMillis: Long,
        /** The peer's time of day against this process's steady clock. */
        var offsetMillis: Long,
    )

    private val peers = HashMap<String, Peer>()

    private val ended = EndedProcesses()

    /** Whether the store's list of instances was read, so that no instance is missing that was there before. */
    @Volatile
    public var isPeerListLoaded: Boolean = false
        internal set

    @Volatile
    private var fresh: List<NodeReport> = emptyList()

    /** Adds an instance that the store names. */
    @Synchronized
    public fun add(name: String, address: String) {
        if (name == self) return
        val peer = peers[name]
        if (peer == null) peers[name] = Peer(name, address, null, clocks.steadyMillis, 0) else peer.address = address
    }

    /** Takes in [report] and gives what it adds to the sender's earlier counters; null if it is an old one. */
    @Synchronized
    public fun accept(report: NodeReport): NodeReport? {
        if (report.name == self) return null
        val now = clocks.steadyMillis
        val peer = peers.getOrPut(report.name) { Peer(report.name, report.address, null, now, 0) }
        val last = peer.report
        if (last != null && !isNewer(report, last)) return null
        if (last != null && last.startedAtMillis != report.startedAtMillis) ended.record(last)
        report.unheard.filterNot(::isHeard).forEach(ended::merge)
        if (last == null || now - peer.heardAtMillis > silentMillis()) {
            log.event("peer", "an instance is heard", "peer" to report.name, "address" to report.address)
        }
        val earlier = last?.takeIf { it.startedAtMillis == report.startedAtMillis }
        peer.report = report
        peer.address = report.address
        peer.heardAtMillis = now
        peer.offsetMillis = report.wallMillis - now
        refresh(now)
        return report.copy(admitted = if (earlier == null) recentlyAdmitted(report) else admittedSince(earlier, report))
    }

    private fun admittedSince(earlier: NodeReport, report: NodeReport): Map<String, Double> =
        report.admitted.mapValues { (name, sum) -> sum - (earlier.admitted[name] ?: 0.0) }

    /**
     * What a process that is heard for the first time admitted lately. Its counters go back to its start, so only the
     * average of one cap window counts; the whole sum would use up every cap at once.
     */
    private fun recentlyAdmitted(report: NodeReport): Map<String, Double> {
        val age = processAgeMillis(report)
        val part = (RECENT_MILLIS / maxOf(age, 1L).toDouble()).coerceAtMost(1.0)
        return report.admitted.mapValues { (_, sum) -> sum * part }
    }

    /** Age of the process that sent [report], from the number of its reports. */
    private fun processAgeMillis(report: NodeReport): Long = report.sequence * reportIntervalMillis(peers.size)

    /** Whether an instance that is heard has a process that started less than [millis] ago. */
    @Synchronized
    public fun hasProcessYoungerThan(millis: Long): Boolean = fresh.any { processAgeMillis(it) < millis }

    /** Drops what has been silent for long, and refreshes the list of live peers. */
    @Synchronized
    public fun expire() {
        val now = clocks.steadyMillis
        for (peer in peers.values.toList()) {
            val silence = now - peer.heardAtMillis
            if (silence > FORGOTTEN_MILLIS) {
                peer.report?.let(ended::record)
                peers.remove(peer.name)
                log.event("peer", "an instance is forgotten", "peer" to peer.name, "silence" to silence)
            }
        }
        refresh(now)
    }

    /** Newest reports of the instances heard lately. */
    public val liveReports: List<NodeReport> get() = fresh

    /** Addresses to which reports go. */
    @Synchronized
    public fun addresses(): List<String> = peers.values.map { it.address }

    /** Addresses of the instances of [domain] that are heard. */
    @Synchronized
    public fun addressesIn(domain: String): List<String> = fresh.filter { it.domain == domain }.map { it.address }

    /** Names of all instances known, this one included. */
    @Synchronized
    public fun instanceNames(): Set<String> = peers.keys + self

    /**
     * Ages of the newest reports of the other instances that are up to date, by name, in milliseconds. What is shared
     * out by reports must not wait for [liveReports]: until then those that are cut off would be taken to stand still.
     */
    @Synchronized
    public fun freshReportAgesMillis(): Map<String, Long> {
        val now = clocks.steadyMillis
        val longest = reportIntervalMillis(peers.size) * UP_TO_DATE_PERCENT / 100
        return peers.values.filter { it.report != null }
            .associate { it.name to now - it.heardAtMillis }
            .filterValues { it <= longest }
    }

    /** Number of the other instances known. */
    public val peerCount: Int @Synchronized get() = peers.size

    /** Offset from the steady clock to true time. */
    @Synchronized
    public fun wallClockOffsetMillis(): Long {
        val now = clocks.steadyMillis
        val others = peers.values.filter { it.report != null && now - it.heardAtMillis < silentMillis() }
        return medianOffset(others.map { it.offsetMillis } + (clocks.wallMillis - now))
    }

    /** The newest report of every process known, live or ended, with [own] for this one. */
    @Synchronized
    public fun allReports(own: NodeReport): List<NodeReport> {
        val newest = peers.values.mapNotNull { it.report } + own
        return newest + ended.reportsExcept(newest)
    }

    /**
     * Usage of the processes that are not heard now, while a process is heard that is too young to have heard them. Of
     * instances that are killed together, the one that reports the usage may be a new process.
     */
    @Synchronized
    public fun usageOfSilentProcesses(): List<ProcessPart> {
        if (!hasProcessYoungerThan(INFORMED_MILLIS)) return emptyList()
        val now = clocks.steadyMillis
        val silent = peers.values.filter { now - it.heardAtMillis >= silentMillis() }.mapNotNull { it.report }
        return (ended.reportsExcept(fresh) + silent).takeLast(MAX_UNHEARD)
            .map { ProcessPart(it.name, it.startedAtMillis, it.usage) }
    }

    private fun isHeard(part: ProcessPart): Boolean = peers[part.name]?.report?.startedAtMillis == part.startedAtMillis

    /** Whether each known instance that still lives was heard since [steadyMillis]. */
    @Synchronized
    public fun allReportedSince(steadyMillis: Long): Boolean = peers.values.all { it.heardAtMillis >= steadyMillis }

    private fun silentMillis(): Long = maxOf(SHORTEST_SILENCE_MILLIS, SILENT_REPORTS * reportIntervalMillis(peers.size))

    private fun refresh(now: Long) {
        fresh = peers.values.filter { now - it.heardAtMillis < silentMillis() }.mapNotNull { it.report }
    }

    private fun isNewer(report: NodeReport, last: NodeReport): Boolean =
        report.startedAtMillis != last.startedAtMillis || report.sequence > last.sequence

    public companion object {
        private const val SHORTEST_INTERVAL_MILLIS = 250L
        private const val INTERVAL_PER_PEER_MILLIS = 8L

        /** Time between reports; longer with many peers, so that an instance sends no more datagrams with each. */
        public fun reportIntervalMillis(peers: Int): Long = maxOf(
            SHORTEST_INTERVAL_MILLIS,
            INTERVAL_PER_PEER_MILLIS * peers,
        )

        /** An instance without a report for this long may be down or cut off. */
        private const val SHORTEST_SILENCE_MILLIS = 1_000L
        private const val SILENT_REPORTS = 4

        /** Age of a report that is up to date, in percent of the time between reports. */
        private const val UP_TO_DATE_PERCENT = 180

        /** An instance without a report for this long is taken to be gone for good. */
        private const val FORGOTTEN_MILLIS = 20_000L

        /** Time of admissions that a newly heard process is reckoned with; about the window of a cap. */
        private const val RECENT_MILLIS = 8_000L

        /** Age at which a process has got several reports of each instance. */
        private const val INFORMED_MILLIS = 5_000L

        /** Keeps a report within one packet. */
        private const val MAX_UNHEARD = 16
    }
}
