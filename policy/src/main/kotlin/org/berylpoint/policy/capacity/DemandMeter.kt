package org.berylpoint.policy.capacity

/** What callers ask of a service at present. */
public data class ServerDemand(val promptTokensPerSecond: Double, val active: Double) {
    /** Servers that are busy as planned under this demand. */
    public fun needed(slots: Int): Double =
        maxOf(promptTokensPerSecond / TOKENS_PER_SERVER_SECOND, active / (slots * SLOT_SHARE), MIN_SERVERS)

    private companion object {
        /** Prompt tokens that one server reads in a second beside its other work, without delaying it much. */
        const val TOKENS_PER_SERVER_SECOND = 55_000.0
        const val SLOT_SHARE = 0.5
        const val MIN_SERVERS = 2.0
    }
}

/**
 * Measures the demand for a service from counters of all processes.
 *
 * Demand counts as the highest of the last seconds: servers take seconds to start, and a wave comes back.
 */
public class DemandMeter {
    private class Sample(val atMillis: Long, val tokens: Double, val active: Int)

    private val samples = ArrayDeque<Sample>()
    private val peaks = ArrayDeque<Pair<Long, ServerDemand>>()
    private val last = HashMap<String, Long>()
    private var total = 0.0

    /** Takes in the counters of prompt tokens, by process, and the requests in progress. */
    public fun add(promptTokens: Map<String, Long>, active: Int, nowMillis: Long) {
        for ((process, sum) in promptTokens) {
            total += (sum - (last[process] ?: 0)).coerceAtLeast(0)
            last[process] = sum
        }
        samples.addLast(Sample(nowMillis, total, active))
        while (samples.size > 1 && nowMillis - samples.first().atMillis > RATE_WINDOW_MILLIS) samples.removeFirst()
        current(nowMillis)?.let { peaks.addLast(nowMillis to it) }
        while (peaks.isNotEmpty() && nowMillis - peaks.first().first > PEAK_WINDOW_MILLIS) peaks.removeFirst()
    }

    /** The demand, or null before there was any. */
    public fun demand(): ServerDemand? {
        if (peaks.isEmpty()) return null
        return ServerDemand(peaks.maxOf { it.second.promptTokensPerSecond }, peaks.maxOf { it.second.active })
    }

    private fun current(nowMillis: Long): ServerDemand? {
        val first = samples.first()
        val seconds = (nowMillis - first.atMillis) / MILLIS
        if (total == 0.0 || seconds * MILLIS < MIN_SPAN_MILLIS) return null
        return ServerDemand((total - first.tokens) / seconds, samples.sumOf { it.active }.toDouble() / samples.size)
    }

    private companion object {
        const val RATE_WINDOW_MILLIS = 3_000L
        const val PEAK_WINDOW_MILLIS = 10_000L
        const val MIN_SPAN_MILLIS = 1_500L
        const val MILLIS = 1000.0
    }
}
