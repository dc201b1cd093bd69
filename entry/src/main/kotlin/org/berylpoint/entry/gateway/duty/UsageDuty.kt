package org.berylpoint.entry.gateway.duty

import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.GatewayMetrics
import org.berylpoint.entry.gateway.peers.PeerView
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
 * earlier one may have sent.
 */
public class UsageDuty(
    private val store: StoreClient,
    private val cloud: CloudClient,
    private val peers: PeerView,
    private val clocks: Clocks,
    private val bounds: GatewayBounds,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    private val ownReport: () -> NodeReport,
) {
    private val reportedWindows = sortedSetOf<Long>()
    private val committedCounts = HashMap<Long, Map<String, Long>>()

    /** Reports the windows that have ended and are due; nothing is reported while [holder] returns null. */
    public suspend fun reportClosedWindows(holder: () -> DutyHolder?) {
        val now = clocks.steadyMillis + peers.wallClockOffsetMillis()
        val current = Math.floorDiv(now, bounds.usageWindowMillis)
        val oldest = Math.floorDiv(now - bounds.usageLateMillis, bounds.usageWindowMillis)
        for (window in oldest until current) {
            val ageMillis = now - (window + 1) * bounds.usageWindowMillis
            if (window in reportedWindows || ageMillis > bounds.usageLateMillis || !isDue(ageMillis)) continue
            if (!reportWindow(window, holder, ageMillis)) return
        }
        while (reportedWindows.size > RETAINED_WINDOWS) reportedWindows.remove(reportedWindows.first())
        committedCounts.keys.retainAll { it >= oldest }
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
        val counts = committedCounts[window] ?: commitCounts(window) ?: return false
        if (counts.isEmpty()) {
            reportedWindows += window
            return true
        }
        committedCounts[window] = counts
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
        if (result.fold({ false }, { it == STATUS_OK })) reportedWindows += window
        return true
    }

    /**
     * Commits the counts that every holder reports for [window] to the store, or reads those that an earlier holder
     * committed; null when neither succeeded.
     */
    private suspend fun commitCounts(window: Long): Map<String, Long>? {
        val reports = peers.allReports(ownReport())
        val parts = reports.flatMap { it.usage }.filter { it.window == window }
            .map { part -> part.counts.mapKeys { Workspace(it.key) } }
        val counts = sumUsage(parts).mapKeys { it.key.name }
        if (counts.isEmpty() && reportedWindows.isEmpty()) return counts
        val key = window.toString()
        val write = RowWrite(TABLE, key, Json.encodeToString(COUNTS, counts).encodeToByteArray())
        val old = TABLE to (window - RETAINED_WINDOWS).toString()
        return store.commit(listOf(RowCondition(TABLE, key, 0)), listOf(write), listOf(old)).fold(
            ifLeft = { error ->
                val earlier = (error as? StoreError.Conflict)?.rows?.firstOrNull { it.key == key && !it.isDeleted }
                log.event(
                    "duty",
                    "committing the usage counts failed",
                    "window" to window,
                    "cause" to error,
                    "earlier" to (earlier != null),
                )
                earlier?.let { Json.decodeFromString(COUNTS, it.value.decodeToString()) }
            },
            ifRight = { counts },
        )
    }

    private companion object {
        const val TABLE = "usage"
        const val STATUS_OK = 200
        const val RETAINED_WINDOWS = 20
        val COUNTS = MapSerializer(String.serializer(), Long.serializer())

        /** Time after a window's end in which the last reports of its counts arrive. */
        const val REPORT_ARRIVAL_MILLIS = 1_500L

        /** Time before the deadline of a report at which it is sent with the counts that are known by then. */
        const val DEADLINE_MARGIN_MILLIS = 4_000L
    }
}
