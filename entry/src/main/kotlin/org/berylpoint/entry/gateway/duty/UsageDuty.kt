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
 * Reports the usage of each window once.
 *
 * The counts are written to the store before they are reported, so a later holder repeats exactly what an earlier one
 * may have sent.
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
    private val done = sortedSetOf<Long>()
    private val settled = HashMap<Long, Map<String, Long>>()

    /** Reports every window that is complete. */
    public suspend fun reportClosedWindows(holder: () -> DutyHolder?) {
        val now = clocks.steadyMillis + peers.wallClockOffsetMillis()
        val current = Math.floorDiv(now, bounds.usageWindowMillis)
        val oldest = Math.floorDiv(now - bounds.usageLateMillis, bounds.usageWindowMillis)
        for (window in oldest until current) {
            val age = now - (window + 1) * bounds.usageWindowMillis
            if (window in done || age > bounds.usageLateMillis || !isComplete(age)) continue
            if (!report(window, holder, age)) return
        }
        while (done.size > KEPT_WINDOWS) done.remove(done.first())
        settled.keys.retainAll { it >= oldest }
    }

    /** All instances have reported since the window ended, or time is running out. */
    private fun isComplete(age: Long): Boolean {
        if (age < SETTLE_MILLIS) return false
        return peers.allReportedSince(clocks.steadyMillis - age + SETTLE_MILLIS / 2) ||
            age > bounds.usageLateMillis - LAST_CALL_MILLIS
    }

    private suspend fun report(window: Long, holder: () -> DutyHolder?, age: Long): Boolean {
        val counts = settled[window] ?: settle(window) ?: return false
        if (counts.isEmpty()) {
            done += window
            return true
        }
        settled[window] = counts
        val acting = holder() ?: return false
        val result = cloud.reportUsage(acting, window, counts.mapKeys { Workspace(it.key) })
        val outcome = result.fold({ it.toString() }, { "status $it" })
        log.event(
            "duty",
            "usage is reported",
            "window" to window,
            "counts" to counts,
            "token" to acting.fencingToken,
            "age" to age,
            "outcome" to outcome,
        )
        metrics.dutyCall("usage", result.fold({ "error" }, { it.toString() }))
        if (result.fold({ false }, { it == OK })) done += window
        return true
    }

    /** The counts that every holder reports for [window]; null when they could not be settled now. */
    private suspend fun settle(window: Long): Map<String, Long>? {
        val reports = peers.allReports(ownReport())
        val parts = reports.flatMap { it.usage }.filter { it.window == window }
            .map { part -> part.counts.mapKeys { Workspace(it.key) } }
        val counts = sumUsage(parts).mapKeys { it.key.name }
        if (counts.isEmpty() && done.isEmpty()) return counts
        val key = window.toString()
        val write = RowWrite(TABLE, key, Json.encodeToString(COUNTS, counts).encodeToByteArray())
        val old = TABLE to (window - KEPT_WINDOWS).toString()
        return store.commit(listOf(RowCondition(TABLE, key, 0)), listOf(write), listOf(old)).fold(
            ifLeft = { error ->
                val earlier = (error as? StoreError.Conflict)?.rows?.firstOrNull { it.key == key && !it.isDeleted }
                log.event(
                    "duty",
                    "usage was not settled",
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
        const val OK = 200
        const val KEPT_WINDOWS = 20
        val COUNTS = MapSerializer(String.serializer(), Long.serializer())

        /** Time after a window's end in which the last reports of its counts arrive. */
        const val SETTLE_MILLIS = 1_500L

        /** Time before a report is due at which it is sent with the counts that are known. */
        const val LAST_CALL_MILLIS = 4_000L
    }
}
