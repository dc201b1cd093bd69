package org.berylpoint.policy.quota

/**
 * A token bucket for one workspace over all instances.
 *
 * Each instance takes from its own copy what it admits itself and, as reports arrive, what the others admitted. What
 * was admitted before the reports came leaves the bucket in debt, so the average rate holds and only a report's delay
 * of traffic can be admitted above it.
 */
public class UsageCap(nowMillis: Long) {
    private var level = Double.NaN
    private var updatedAtMillis = nowMillis

    /**
     * Admits [cost] if the bucket is not empty. [share] is the part of the cap that this instance may count on, below
     * 1 while instances that may be alive are not heard.
     */
    public fun tryTake(cost: Double, ratePerSecond: Double, burst: Double, share: Double, nowMillis: Long): Boolean {
        if (ratePerSecond <= 0) return true
        refill(ratePerSecond * share, burst * share, nowMillis)
        if (level <= 0) return false
        level -= cost
        return true
    }

    /** Takes what other instances admitted. */
    public fun takeRemote(cost: Double) {
        if (!level.isNaN()) level -= cost
    }

    /** Milliseconds until the bucket is no longer empty. */
    public fun waitMillis(ratePerSecond: Double): Long {
        if (level.isNaN() || level > 0 || ratePerSecond <= 0) return 0
        return (-level / ratePerSecond * MILLIS).toLong() + 1
    }

    private fun refill(rate: Double, burst: Double, nowMillis: Long) {
        val passed = (nowMillis - updatedAtMillis).coerceAtLeast(0)
        updatedAtMillis = nowMillis
        level = if (level.isNaN()) burst else minOf(burst, level + rate * passed / MILLIS)
    }

    private companion object {
        const val MILLIS = 1000.0
    }
}
