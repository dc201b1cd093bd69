package org.berylpoint.policy.overload

import java.util.TreeMap

/**
 * Divides the share of requests that can be accepted among ranks, by the requests of each rank that came lately: the
 * most urgent ranks first. Each rank keeps a part of the share, so that a long overload starves none. Not thread-safe.
 */
internal class RankShares {
    private val current = TreeMap<Int, Double>()

    /** Requests by rank, of earlier intervals with falling weight. */
    private var arrivals = TreeMap<Int, Double>()

    /** Counts a request of [rank]. */
    fun add(rank: Int) {
        current.merge(rank, 1.0, Double::plus)
    }

    /** Ends an interval; the shares follow its requests from now on. */
    fun closeInterval() {
        for ((rank, count) in arrivals) current.merge(rank, count * KEPT_WEIGHT, Double::plus)
        arrivals = TreeMap(current)
        current.clear()
    }

    /** Share of the requests of [rank] that are accepted if [share] of all are. */
    fun shareOf(rank: Int, share: Double): Double {
        val own = arrivals[rank] ?: return share
        val floor = share * MIN_RANK_RATIO
        // What is left once each rank has its floor.
        var left = arrivals.values.sum() * (share - floor)
        for (count in arrivals.headMap(rank).values) left -= minOf(left, count * (1 - floor))
        return floor + minOf(left, own * (1 - floor)) / own
    }

    private companion object {
        const val KEPT_WEIGHT = 0.8

        /** Part of the overall share that each rank gets in any case. */
        const val MIN_RANK_RATIO = 0.25
    }
}
