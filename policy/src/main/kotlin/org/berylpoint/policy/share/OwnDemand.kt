package org.berylpoint.policy.share

import kotlin.math.exp

/**
 * Counts the demand for one service at this instance: what runs, what waits and what was refused recently.
 *
 * Not thread-safe; the caller uses the lock under which it uses the service's queue.
 */
public class OwnDemand {
    private class Group {
        var running = 0
        var waiting = 0
        var smoothedWaiting = 0.0
        var refused = 0.0
        var updatedMillis = 0L

        /** Brings the averages up to [nowMillis]. */
        fun advance(nowMillis: Long) {
            val kept = exp(-(nowMillis - updatedMillis).coerceAtLeast(0) / WINDOW_MILLIS)
            smoothedWaiting = waiting + (smoothedWaiting - waiting) * kept
            refused *= kept
            updatedMillis = maxOf(updatedMillis, nowMillis)
        }

        fun isNegligible(): Boolean =
            running == 0 && waiting == 0 && smoothedWaiting < MIN_DEMAND_SLOTS && refused < MIN_DEMAND_SLOTS
    }

    private val groups = HashMap<ShareGroup, Group>()

    /** Requests of all groups that run at servers. */
    public var running: Int = 0
        private set

    /** Requests that run at servers, of the groups that [isCounted] tells. */
    public fun running(isCounted: (ShareGroup) -> Boolean): Int =
        groups.entries.sumOf { if (isCounted(it.key)) it.value.running else 0 }

    /** Records that a request of [group] starts at a server. */
    public fun started(group: ShareGroup) {
        groups.getOrPut(group, ::Group).running++
        running++
    }

    /** Records that a request of [group] that was started has ended. */
    public fun ended(group: ShareGroup) {
        groups.getValue(group).running--
        running--
    }

    /** Records that a request of [group] entered the queue. */
    public fun queued(group: ShareGroup, nowMillis: Long): Unit = at(group, nowMillis).run { waiting++ }

    /** Records that a request of [group] left the queue, for whatever reason. */
    public fun dequeued(group: ShareGroup, nowMillis: Long): Unit = at(group, nowMillis).run { waiting-- }

    /** Records that a request of [group] was refused that would have used a slot for [workMillis]. */
    public fun refused(group: ShareGroup, workMillis: Double, nowMillis: Long): Unit =
        at(group, nowMillis).run { refused += workMillis / WINDOW_MILLIS }

    /** The demand of each group that has any. */
    public fun snapshot(nowMillis: Long): Map<ShareGroup, SlotDemand> {
        groups.values.forEach { it.advance(nowMillis) }
        groups.values.removeIf { it.isNegligible() }
        return groups.mapValues { SlotDemand(it.value.running, it.value.smoothedWaiting, it.value.refused) }
    }

    private fun at(group: ShareGroup, nowMillis: Long): Group =
        groups.getOrPut(group) { Group().apply { updatedMillis = nowMillis } }.apply { advance(nowMillis) }

    private companion object {
        /**
         * Time over which waiting and refused requests are averaged. Portions of instances follow them, and each change
         * of a portion leaves slots unused until the next report.
         */
        const val WINDOW_MILLIS = 1_000.0
        const val MIN_DEMAND_SLOTS = 0.01
    }
}
