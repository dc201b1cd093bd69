package org.berylpoint.policy.capacity

import kotlin.math.ceil

/** What callers ask of a service at present. */
public data class ServerDemand(val promptTokensPerSecond: Double, val active: Double, val peakActive: Double) {
    /** Servers that carry the demand with room for its usual swings. */
    public fun needed(slots: Int): Int {
        val byTokens = promptTokensPerSecond / TOKENS_PER_SERVER_SECOND
        val byActive = peakActive / (slots * SLOT_SHARE)
        return ceil(maxOf(byTokens, byActive) * HEADROOM).toInt().coerceAtLeast(MIN_SERVERS)
    }

    /** Servers of those that have to survive a reclaim. */
    public fun base(slots: Int): Int = ceil(needed(slots) * BASE_SHARE).toInt()

    private companion object {
        /** Prompt tokens that one server reads in a second beside its other work, without delaying it much. */
        const val TOKENS_PER_SERVER_SECOND = 40_000.0
        const val SLOT_SHARE = 0.5
        const val HEADROOM = 1.3
        const val MIN_SERVERS = 3
        const val BASE_SHARE = 0.5
    }
}

/** Averages the demand for a service over a few seconds, from counters of all processes. */
public class DemandMeter {
    private class Sample(val atMillis: Long, val tokens: Double, val active: Int)

    private val samples = ArrayDeque<Sample>()
    private val last = HashMap<String, Long>()
    private var total = 0.0

    /** Takes in the counters of prompt tokens, by process, and the requests in progress. */
    public fun add(promptTokens: Map<String, Long>, active: Int, nowMillis: Long) {
        for ((process, sum) in promptTokens) {
            total += (sum - (last[process] ?: 0)).coerceAtLeast(0)
            last[process] = sum
        }
        samples.addLast(Sample(nowMillis, total, active))
        while (samples.size > 1 && nowMillis - samples.first().atMillis > WINDOW_MILLIS) samples.removeFirst()
    }

    /** The demand, or null before there was any. */
    public fun demand(nowMillis: Long): ServerDemand? {
        if (samples.size < 2 || total == 0.0) return null
        val first = samples.first()
        val seconds = (nowMillis - first.atMillis).coerceAtLeast(MIN_SPAN_MILLIS) / MILLIS
        return ServerDemand(
            promptTokensPerSecond = (total - first.tokens) / seconds,
            active = samples.sumOf { it.active }.toDouble() / samples.size,
            peakActive = samples.maxOf { it.active }.toDouble(),
        )
    }

    private companion object {
        const val WINDOW_MILLIS = 8_000L
        const val MIN_SPAN_MILLIS = 2_000L
        const val MILLIS = 1000.0
    }
}
