package org.berylpoint.policy.retry

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds retries to a share of the first attempts of the last [window], plus a constant [reserve].
 *
 * Without a bound, retries multiply the load on the servers that are left when some fail.
 */
public class RetryBudget(
    private val share: Double = 0.1,
    private val reserve: Int = 3,
    private val window: Duration = 10.seconds,
) {
    private val firsts = ArrayDeque<ComparableTimeMark>()
    private val retries = ArrayDeque<ComparableTimeMark>()

    /** Counts a first attempt at [now]. */
    public fun recordFirstAttempt(now: ComparableTimeMark) {
        expire(now)
        firsts.addLast(now)
    }

    /** Takes one retry out of the budget; false when it is used up. */
    public fun tryRetry(now: ComparableTimeMark): Boolean {
        expire(now)
        if (retries.size >= reserve + (firsts.size * share).toInt()) return false
        retries.addLast(now)
        return true
    }

    private fun expire(now: ComparableTimeMark) {
        for (marks in listOf(firsts, retries)) {
            while (marks.isNotEmpty() && now - marks.first() > window) marks.removeFirst()
        }
    }
}
