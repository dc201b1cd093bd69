package org.berylpoint.policy.retry

/**
 * One instance's part of a service's retry budget, which all instances share.
 *
 * Retries are bounded by [ratio] of the instance's own first attempts of the last [windowMillis], plus an equal part
 * of [slack]. Only a share of the bound is used, because instances differ in how many of them are alive.
 */
public class SharedRetryBudget(private val ratio: Double, private val slack: Double, private val windowMillis: Long) {
    private val firsts = ArrayDeque<Long>()
    private val retries = ArrayDeque<Long>()

    /** Counts a first attempt. */
    public fun recordFirstAttempt(nowMillis: Long) {
        expire(nowMillis)
        firsts.addLast(nowMillis)
    }

    /** Takes one retry out of the budget of [instances] instances; false when it is used up. */
    public fun tryRetry(nowMillis: Long, instances: Int): Boolean {
        expire(nowMillis)
        val bound = USED_SHARE * (ratio * firsts.size + slack / maxOf(1, instances))
        if (retries.size + 1 > bound) return false
        retries.addLast(nowMillis)
        return true
    }

    private fun expire(nowMillis: Long) {
        for (marks in listOf(firsts, retries)) {
            while (marks.isNotEmpty() && nowMillis - marks.first() > windowMillis) marks.removeFirst()
        }
    }

    private companion object {
        const val USED_SHARE = 0.8
    }
}
