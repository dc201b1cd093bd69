package org.berylpoint.policy.overload

import kotlin.random.Random

/**
 * Refuses a share of the requests while an instance has less processor time than they need.
 *
 * Without it, an overloaded instance accepts everything and serves nothing in time, since each request waits for all
 * the others; what the instance has to learn from its peers and from the store waits with them.
 *
 * The pattern is controlled delay (CoDel): the smallest lag within an interval tells a standing queue from a burst or a
 * short stall. The share of requests that are accepted falls while there is a queue, and else grows by a factor in each
 * interval. What is accepted goes to the most urgent ranks first ([RankShares]).
 */
public class LoadShedder(private val random: Random) {
    private var intervalStartMillis = 0L
    private var readings = 0
    private var smallestLagMillis = Long.MAX_VALUE
    private var previousLagMillis = 0L
    private val ranks = RankShares()

    /** Share of the requests that are accepted; 1 unless the instance is overloaded. */
    @Volatile
    public var acceptedShare: Double = 1.0
        private set

    /** Records that the process now gets its turns on the processor [lagMillis] late. */
    @Synchronized
    public fun recordLag(lagMillis: Long, nowMillis: Long) {
        smallestLagMillis = minOf(smallestLagMillis, lagMillis)
        readings++
        if (nowMillis - intervalStartMillis < INTERVAL_MILLIS || readings < MIN_READINGS) return
        acceptedShare = (acceptedShare * changeFactor(smallestLagMillis)).coerceIn(MIN_SHARE, 1.0)
        ranks.closeInterval()
        intervalStartMillis = nowMillis
        readings = 0
        previousLagMillis = smallestLagMillis
        smallestLagMillis = Long.MAX_VALUE
    }

    /** The share falls the more, the longer the queue is; it stays while the queue shrinks by itself. */
    private fun changeFactor(lagMillis: Long): Double = when {
        lagMillis <= MAX_LAG_MILLIS -> INCREASE_FACTOR
        lagMillis < previousLagMillis * MAX_SHRINKING_RATIO -> 1.0
        else -> (MAX_LAG_MILLIS.toDouble() / lagMillis).coerceIn(MIN_DECREASE_FACTOR, MAX_DECREASE_FACTOR)
    }

    /** Whether the next request is to be accepted, which is of [rank]; 0 is the most urgent. */
    @Synchronized
    public fun accepts(rank: Int): Boolean {
        ranks.add(rank)
        return acceptedShare >= 1.0 || random.nextDouble() < ranks.shareOf(rank, acceptedShare)
    }

    public companion object {
        /** Lag that may last; beyond it, a request that needs several turns misses its target. */
        public const val MAX_LAG_MILLIS: Long = 150

        /** Time within which one reading of the lag has to be small. */
        private const val INTERVAL_MILLIS = 250L

        /** More than one, since one stall of any length gives one large reading. */
        private const val MIN_READINGS = 2

        /** A queue shrinks by itself if its lag is below this part of that an interval before. */
        private const val MAX_SHRINKING_RATIO = 0.8
        private const val MIN_DECREASE_FACTOR = 0.25
        private const val MAX_DECREASE_FACTOR = 0.7
        private const val INCREASE_FACTOR = 1.25

        /** Some requests are always accepted, as a probe. */
        private const val MIN_SHARE = 0.02
    }
}
