package org.berylpoint.policy.queue

import org.berylpoint.policy.share.ShareGroup
import kotlin.math.exp
import kotlin.random.Random

/**
 * Estimates when a refused caller should return, from the rate at which requests of its rank and workspace start.
 *
 * Load pattern: many callers of one workspace are refused together and would return together. Each is counted as a
 * place ahead of the next one, so they get different times. Not thread-safe.
 */
public class RetryAfterEstimate(private val random: Random) {
    private class Group(var updatedMillis: Long) {
        var starts = 0.0

        /** Time up to which callers have been told to return. */
        var bookedUntilMillis = 0.0

        fun advance(nowMillis: Long) {
            starts *= exp(-(nowMillis - updatedMillis).coerceAtLeast(0) / WINDOW_MILLIS)
            updatedMillis = maxOf(updatedMillis, nowMillis)
        }

        fun startsPerMilli(): Double = maxOf(starts / WINDOW_MILLIS, MIN_STARTS_PER_MILLI)
    }

    private val groups = HashMap<ShareGroup, Group>()

    /** Records that a request of [group] started. */
    public fun recordStart(group: ShareGroup, nowMillis: Long) {
        at(group, nowMillis).starts++
    }

    /**
     * Milliseconds after which a caller of [group] should return that is refused now; [waitMillis] is the time that
     * the queue expects for a request of the group ([WaitQueue.expectedWaitMillis]).
     */
    public fun refusedMillis(group: ShareGroup, waitMillis: Double, nowMillis: Long): Long {
        val state = at(group, nowMillis)
        val earliest = nowMillis + waitMillis.coerceIn(0.0, MAX_MILLIS)
        val booked = maxOf(state.bookedUntilMillis, earliest) + 1 / state.startsPerMilli()
        state.bookedUntilMillis = minOf(booked, nowMillis + MAX_MILLIS)
        val jitter = 1 + (random.nextDouble() - HALF) * JITTER
        return ((state.bookedUntilMillis - nowMillis) * jitter).coerceIn(MIN_MILLIS, MAX_MILLIS).toLong()
    }

    private fun at(group: ShareGroup, nowMillis: Long): Group {
        if (groups.size > MAX_GROUPS) groups.values.removeIf { nowMillis - it.updatedMillis > FORGET_MILLIS }
        return groups.getOrPut(group) { Group(nowMillis) }.apply { advance(nowMillis) }
    }

    private companion object {
        const val WINDOW_MILLIS = 2_000.0

        /** A group of which nothing started lately still gets a finite time. */
        const val MIN_STARTS_PER_MILLI = 0.0005
        const val MIN_MILLIS = 50.0

        /** Overload that lasts longer cannot be foreseen from the rate of the last seconds. */
        const val MAX_MILLIS = 10_000.0
        const val HALF = 0.5

        /** Width of the interval around the estimate from which the time is drawn, as a fraction of it. */
        const val JITTER = 0.4
        const val MAX_GROUPS = 256
        const val FORGET_MILLIS = 20_000L
    }
}
