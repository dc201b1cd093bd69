package org.berylpoint.entry.gateway.peers

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.restarting
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.ReportChannel
import org.berylpoint.peer.ReportTraffic
import org.berylpoint.peer.RowsPart
import org.berylpoint.peer.boundedTo
import org.berylpoint.peer.pack
import org.berylpoint.peer.withOnly
import org.berylpoint.peer.withSomeSilentProcesses
import org.berylpoint.peer.withoutPartsForNewProcesses
import org.berylpoint.peer.withoutSilentProcesses
import org.berylpoint.peer.withoutSlowParts
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sends this instance's report to all other instances at an interval and receives theirs. */
internal class PeerReportExchange(
    private val channel: ReportChannel,
    private val view: PeerView,
    private val log: DecisionLog,
    private val buildReport: (sequence: Long) -> NodeReport,
    /** Gets forwarded rows first, whatever becomes of their report: they are ordered by their own revisions. */
    private val onRows: (RowsPart) -> Unit,
    private val onReport: (NodeReport) -> Unit,
) {
    private val sequence = AtomicLong()

    /** What this process has sent to other instances. */
    val traffic: ReportTraffic get() = channel.traffic

    /** Sends changed rows to the live instances of [domain], or nothing where a datagram can't hold them. */
    fun forwardRows(domain: String, rows: RowsPart) {
        if (rows.rows.sumOf { it.value.size } > MAX_FORWARDED_BYTES) return
        channel.send(buildReport(sequence.get()).withOnly(rows), view.liveAddressesIn(domain))
    }

    /** Sends changed rows to the instance that receives reports at [peerAddress]. */
    fun sendRows(rows: RowsPart, peerAddress: String) {
        channel.send(buildReport(sequence.get()).withOnly(rows), listOf(peerAddress))
    }

    /** Sends and receives in [scope] until it ends, which closes the channel. */
    fun start(scope: CoroutineScope) {
        scope.coroutineContext.job.invokeOnCompletion { channel.close() }
        channel.receive { received ->
            val rows = received.rows
            if (rows != null) onRows(rows) else view.accept(received)?.let(onReport)
        }
        scope.launch { restarting(log, "peer reports") { sendReports() } }
        scope.launch { restarting(log, "peer traffic") { logTraffic(channel.traffic) } }
    }

    private suspend fun sendReports() {
        var round = 0
        while (true) {
            view.removeExpiredPeers()
            sendRound(round++)
        }
    }

    /**
     * Sends one report to each instance within the time between two reports. It goes out to a few instances at a time,
     * so that nothing else waits long behind it on the link; each of them gets what is known at its turn.
     */
    private suspend fun sendRound(round: Int) {
        val number = sequence.incrementAndGet()
        val targets = view.takeTargets()
        val areSmall = !isWhole(round) && targets.all { it.needs == ReportNeeds.NOTHING }
        val slices = targets.chunked(if (areSmall) SMALL_REPORTS_AT_ONCE else LARGE_REPORTS_AT_ONCE)
        val interval = PeerView.reportIntervalMillis(view.peerCount).milliseconds
        for (slice in slices) {
            sendTo(slice, buildReport(number), round)
            delay(interval / slices.size)
        }
        if (slices.isEmpty()) delay(interval)
    }

    private fun isWhole(round: Int) = round % WHOLE_REPORT_ROUNDS == 0

    private fun sendTo(targets: List<ReportTarget>, report: NodeReport, round: Int) {
        val isPacked = report.readsPacked && view.liveReports.all { it.readsPacked }
        for ((needs, group) in targets.groupBy { it.needs }) {
            val part = report.partFor(needs, round)
            channel.send(if (isPacked) part.bounded(round).pack() else part, group.map { it.address })
        }
    }

    private fun NodeReport.bounded(round: Int): NodeReport {
        val wholeRounds = round / WHOLE_REPORT_ROUNDS
        return if (isWhole(round)) {
            boundedTo(WHOLE_REPORT_BYTES, wholeRounds)
        } else {
            boundedTo(if (isPartial) PARTIAL_REPORT_BYTES else WHOLE_REPORT_BYTES, round - wholeRounds)
        }
    }

    private fun NodeReport.partFor(needs: ReportNeeds, round: Int): NodeReport = when (needs) {
        ReportNeeds.NOTHING -> if (isWhole(round)) withoutPartsForNewProcesses() else withoutSlowParts()
        ReportNeeds.WINDOW_TOTALS -> withoutSilentProcesses()
        ReportNeeds.SILENT_PROCESSES -> withSomeSilentProcesses(SILENT_PROCESSES_AT_ONCE, round)
    }

    /** Logs what was sent lately: a link that is full of reports delays everything else on it. */
    private suspend fun logTraffic(traffic: ReportTraffic) {
        var bytes = 0L
        var datagrams = 0L
        while (true) {
            delay(TRAFFIC_LOG_INTERVAL)
            log.event(
                "peer",
                "reports were sent",
                "datagrams" to traffic.datagrams - datagrams,
                "bytes" to traffic.bytes - bytes,
                "peers" to view.peerCount,
                "live" to view.liveReports.size,
            )
            bytes = traffic.bytes
            datagrams = traffic.datagrams
        }
    }

    private companion object {
        /** Parts of a report that may come late are sent with each report of this number. */
        const val WHOLE_REPORT_ROUNDS = 4

        /** Instances to which a report goes at once. */
        const val SMALL_REPORTS_AT_ONCE = 16
        const val LARGE_REPORTS_AT_ONCE = 8

        /** Size up to which reports are filled with what may also go with another round. */
        const val PARTIAL_REPORT_BYTES = 820
        const val WHOLE_REPORT_BYTES = 1_300

        /** Ended processes whose usage one report carries. */
        const val SILENT_PROCESSES_AT_ONCE = 4

        /** Limit on the values of all forwarded rows; each instance reads larger changes from the store. */
        const val MAX_FORWARDED_BYTES = 4_096
        val TRAFFIC_LOG_INTERVAL = 10.seconds
    }
}
