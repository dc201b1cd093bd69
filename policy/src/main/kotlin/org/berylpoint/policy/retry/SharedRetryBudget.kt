package org.berylpoint.policy.retry

/**
 * This instance's part of the retry budget of one service, which all instances share.
 *
 * The retries within the last [windowMillis] are limited to [ratio] times the instance's own first attempts within it,
 * plus an equal part of [slack], a number of retries for all instances together. Only [USED_FRACTION] of that limit is
 * used, because instances may count different numbers of live instances.
 */
public class SharedRetryBudget(private val ratio: Double, private val slack: Double, private val windowMillis: Long) {
    private val firstAttempts = ArrayDeque<Long>()
    private val retries = ArrayDeque<Long>()

    /** Counts a first attempt at [nowMillis]. */
    public fun recordFirstAttempt(nowMillis: Long) {
        expire(nowMillis)
        firstAttempts.addLast(nowMillis)
    }

    /** Uses one retry of the budget, which is shared by [instances] instances; returns false if none is left. */
    public fun tryRetry(nowMillis: Long, instances: Int): Boolean {
        expire(nowMillis)
        val limit = USED_FRACTION * (ratio * firstAttempts.size + slack / maxOf(1, instances))
        if (retries.size + 1 > limit) return false
        retries.addLast(nowMillis)
        return true
    }

    private fun expire(nowMillis: Long) {
        for (times in listOf(firstAttempts, retries)) {
            while (times.isNotEmpty() && nowMillis - times.first() > windowMillis) times.removeFirst()
        }
    }

    private companion object {
        const val USED_FRACTION = 0.8
    }
}
