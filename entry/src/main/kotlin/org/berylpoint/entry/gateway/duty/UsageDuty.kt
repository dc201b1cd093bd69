package org.berylpoint.entry.gateway.duty

import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.GatewayMetrics
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.entry.gateway.site.StoreEras
import org.berylpoint.entry.settings.GatewayBounds
import org.berylpoint.model.Workspace
import org.berylpoint.peer.NodeReport
import org.berylpoint.platform.cloud.CloudClient
import org.berylpoint.platform.cloud.DutyHolder
import org.berylpoint.platform.store.RowCondition
import org.berylpoint.platform.store.RowWrite
import org.berylpoint.platform.store.StoreClient
import org.berylpoint.platform.store.StoreError
import org.berylpoint.policy.duty.sumUsage

/**
 * Reports the usage of each window to the cloud once.
 *
 * The counts are committed to the store before they are reported, so that a later lease holder repeats exactly what an
 * earlier one may have sent. A restore of the store may lose them, so all instances are told of them before the cloud
 * is, and they are committed again by the holder that comes next.
 */
public class UsageDuty(
    private val store: StoreClient,
    private val cloud: CloudClient,
    private val peers: PeerView,
    private val clocks: Clocks,
    private val bounds: GatewayBounds,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    private val eras: StoreEras,
    private val settled: SettledUsage,
    private val ownReport: () -> NodeReport,
) {
    private val reportedWindows = sortedSetOf<Long>()

    /** Reports the windows that have ended and are due; nothing is reported while [holder] returns null. */
    public suspend fun reportClosedWindows(holder: () -> DutyHolder?) {
        val now = clocks.steadyMillis + peers.wallClockOffsetMillis()
        val current = Math.floorDiv(now, bounds.usageWindowMillis)
        val oldest = Math.floorDiv(now - bounds.usageLateMillis, bounds.usageWindowMillis)
        settleAgain()
        for (window in oldest until current) {
            val ageMillis = now - (window + 1) * bounds.usageWindowMillis
            if (window in reportedWindows || ageMillis > bounds.usageLateMillis || !isDue(ageMillis)) continue
            if (!reportWindow(window, holder, ageMillis)) return
        }
        while (reportedWindows.size > RETAINED_WINDOWS) reportedWindows.remove(reportedWindows.first())
    }

    /**
     * Whether to report the window that ended [ageMillis] ago: all instances have reported since its end, or the
     * deadline is near.
     */
    private fun isDue(ageMillis: Long): Boolean {
        if (ageMillis < REPORT_ARRIVAL_MILLIS) return false
        return peers.allReportedSince(clocks.steadyMillis - ageMillis + REPORT_ARRIVAL_MILLIS / 2) ||
            ageMillis > bounds.usageLateMillis - DEADLINE_MARGIN_MILLIS
    }

    /** Reports [window]; false when no later window is to be tried now. */
    private suspend fun reportWindow(window: Long, holder: () -> DutyHolder?, ageMillis: Long): Boolean {
        val inStore = settled[window]?.takeIf { it.era == eras.current }
        val settlement = inStore ?: commitCounts(window) ?: return false
        val counts = settlement.counts
        if (counts.isEmpty()) {
            reportedWindows += window
            return true
        }
        if (eras.current > 0 && clocks.steadyMillis - settlement.atMillis < tellingMillis()) return false
        val dutyHolder = holder() ?: return false
        val result = cloud.reportUsage(dutyHolder, window, counts.mapKeys { Workspace(it.key) })
        val outcome = result.fold({ it.toString() }, { "status $it" })
        log.event(
            "duty",
            "usage is reported",
            "window" to window,
            "counts" to counts,
            "token" to dutyHolder.fencingToken,
            "age" to ageMillis,
            "outcome" to outcome,
        )
        metrics.dutyCallEnded("usage", result.fold({ "error" }, { it.toString() }))
        // A call whose outcome is unknown may have been done.
        if (result.fold({ it !is StoreError.NotDone }, { it == STATUS_OK })) settlement.isReported = true
        if (result.fold({ false }, { it == STATUS_OK })) reportedWindows += window
        return true
    }

    /** Time in which the other instances hear of settled counts, with every other report of this one. */
    private fun tellingMillis(): Long =
        minOf(PeerView.reportIntervalMillis(peers.peerCount) * TELLING_PERCENT / 100, MAX_TELLING_MILLIS)

    /**
     * Commits the counts that every holder reports for [window] to the store, or reads those that an earlier holder
     * committed; null when neither succeeded.
     */
    private suspend fun commitCounts(window: Long): SettledUsage.Settled? {
        val known = settled[window]
        val counts = known?.counts ?: countsOf(window)
        if (counts.isEmpty() && reportedWindows.isEmpty()) return SettledUsage.Settled(counts, atMillis = 0)
        val old = TABLE to (window - RETAINED_WINDOWS).toString()
        return commit(window, counts, listOf(old)).fold(
            ifLeft = { error ->
                val earlier = earlierCounts(window, error)
                log.event(
                    "duty",
                    "committing the usage counts failed",
                    "window" to window,
                    "cause" to error,
                    "earlier" to (earlier != null),
                )
                when {
                    earlier == null -> null
                    // Whoever wrote the row did not know what had been reported.
                    known != null && known.isReported -> known.also { it.era = eras.current }
                    else -> settled.record(window, earlier, eras.current, clocks.steadyMillis)
                }
            },
            ifRight = { settled.record(window, counts, it.revision.era, clocks.steadyMillis) },
        )
    }

    private fun countsOf(window: Long): Map<String, Long> {
        val parts = peers.allReports(ownReport()).flatMap { it.usage }.filter { it.window == window }
            .map { part -> part.counts.mapKeys { Workspace(it.key) } }
        return sumUsage(parts).mapKeys { it.key.name }
    }

    private suspend fun commit(window: Long, counts: Map<String, Long>, old: List<Pair<String, String>>) = store.commit(
        listOf(RowCondition(TABLE, window.toString(), 0)),
        listOf(RowWrite(TABLE, window.toString(), Json.encodeToString(COUNTS, counts).encodeToByteArray())),
        old,
    )

    private fun earlierCounts(window: Long, error: StoreError): Map<String, Long>? =
        (error as? StoreError.Conflict)?.rows?.firstOrNull { it.key == window.toString() && !it.isDeleted }
            ?.let { Json.decodeFromString(COUNTS, it.value.decodeToString()) }

    /** Writes the counts again that a restore of the store may have lost. */
    private suspend fun settleAgain() {
        val era = eras.current
        if (era == 0L) return
        for ((window, known) in settled.missingIn(era)) {
            if (known.counts.isEmpty()) continue
            commit(window, known.counts, emptyList()).fold(
                ifLeft = { error -> if (error is StoreError.Conflict) known.era = era },
                ifRight = {
                    known.era = it.revision.era
                    log.event("duty", "settled usage counts are written again", "window" to window, "era" to known.era)
                },
            )
        }
    }

    private companion object {
        const val TABLE = "usage"
        const val STATUS_OK = 200
        const val RETAINED_WINDOWS = 20

        /** Time for two reports and the way of the second, in percent of that between two reports. */
        const val TELLING_PERCENT = 250L
        const val MAX_TELLING_MILLIS = 2_000L
        val COUNTS = MapSerializer(String.serializer(), Long.serializer())

        /** Time after a window's end in which the last reports of its counts arrive. */
        const val REPORT_ARRIVAL_MILLIS = 1_500L

        /** Time before the deadline of a report at which it is sent with the counts that are known by then. */
        const val DEADLINE_MARGIN_MILLIS = 4_000L
    }
}
