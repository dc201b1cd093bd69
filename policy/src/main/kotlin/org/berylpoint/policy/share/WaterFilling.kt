package org.berylpoint.policy.share

/** Weighted max-min fair division of one quantity. */
internal object WaterFilling {
    /**
     * The level at which [capacity] is used up if each claim gets the smaller of its demand and its weight times the
     * level; infinite if all demands fit.
     */
    fun level(capacity: Double, demands: DoubleArray, weights: DoubleArray): Double {
        val order = demands.indices.sortedBy { demands[it] / weights[it] }
        var remaining = capacity.coerceAtLeast(0.0)
        var weight = weights.sum()
        for (i in order) {
            val level = remaining / weight
            if (demands[i] > weights[i] * level) return level
            remaining -= demands[i]
            weight -= weights[i]
        }
        return Double.POSITIVE_INFINITY
    }
}
