package org.berylpoint.policy.retry

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits the retries within the last [window] to [ratio] times the first attempts within it, plus a constant [reserve].
 *
 * Without a limit, retries multiply the load on the remaining servers when some servers fail.
 */
public class RetryBudget(
    private val ratio: Double = 0.1,
    private val reserve: Int = 3,
    private val window: Duration = 10.seconds,
) {
    private val firstAttempts = ArrayDeque<ComparableTimeMark>()
    private val retries = ArrayDeque<ComparableTimeMark>()

    /** Counts a first attempt at [now]. */
    public fun recordFirstAttempt(now: ComparableTimeMark) {
        expire(now)
        firstAttempts.addLast(now)
    }

    /** Uses one retry of the budget; returns false if none is left. */
    public fun tryRetry(now: ComparableTimeMark): Boolean {
        expire(now)
        if (retries.size >= reserve + (firstAttempts.size * ratio).toInt()) return false
        retries.addLast(now)
        return true
    }

    private fun expire(now: ComparableTimeMark) {
        for (marks in listOf(firstAttempts, retries)) {
            while (marks.isNotEmpty() && now - marks.first() > window) marks.removeFirst()
        }
    }
}
