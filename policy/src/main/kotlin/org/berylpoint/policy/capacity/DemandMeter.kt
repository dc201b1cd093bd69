package org.berylpoint.policy.capacity

/** What callers ask of a service at present. */
public data class ServiceDemand(val promptTokensPerSecond: Double, val active: Double) {
    /** Servers that are busy as planned under this demand. */
    public fun serversNeeded(slots: Int): Double =
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
 * Demand counts as the highest of the last seconds: servers take seconds to start, and a wave comes back. What comes in
 * the first seconds of a meter is passed over: after a restart of all instances that is what has piled up meanwhile.
 */
public class DemandMeter {
    private class Sample(val atMillis: Long, val tokens: Double, val active: Int)

    private val samples = ArrayDeque<Sample>()
    private val peaks = ArrayDeque<Pair<Long, ServiceDemand>>()
    private val last = HashMap<String, Long>()
    private var total = 0.0
    private var firstAddMillis: Long? = null

    /** Takes in the counters of prompt tokens, by process, and the requests in progress. */
    public fun add(promptTokens: Map<String, Long>, active: Int, nowMillis: Long) {
        for ((process, sum) in promptTokens) {
            // The counter of a process that is heard for the first time may go back a long time.
            total += (sum - (last[process] ?: sum)).coerceAtLeast(0)
            last[process] = sum
        }
        val first = firstAddMillis ?: nowMillis.also { firstAddMillis = it }
        if (nowMillis - first < SETTLE_MILLIS) return
        addSample(Sample(nowMillis, total, active))
        current(nowMillis)?.let { peaks.addLast(nowMillis to it) }
        while (peaks.isNotEmpty() && nowMillis - peaks.first().first > PEAK_WINDOW_MILLIS) peaks.removeFirst()
    }

    /** The demand, or null before there was any. */
    public fun demand(): ServiceDemand? {
        if (peaks.isEmpty()) return null
        return ServiceDemand(peaks.maxOf { it.second.promptTokensPerSecond }, peaks.maxOf { it.second.active })
    }

    private fun addSample(sample: Sample) {
        // The rate counts from the first request on, not from the start of an idle site.
        if (samples.size == 1 && samples.first().tokens == sample.tokens) samples.removeFirst()
        samples.addLast(sample)
        while (samples.size > 1 && sample.atMillis - samples.first().atMillis > RATE_WINDOW_MILLIS) {
            samples.removeFirst()
        }
    }

    private fun current(nowMillis: Long): ServiceDemand? {
        val first = samples.first()
        val spanMillis = nowMillis - first.atMillis
        if (spanMillis < MIN_SPAN_MILLIS || total == 0.0) return null
        val rate = (total - first.tokens) / spanMillis * MILLIS
        return ServiceDemand(rate, samples.sumOf { it.active }.toDouble() / samples.size)
    }

    private companion object {
        /** Long enough that a few long prompts in a row are not taken for a wave. */
        const val RATE_WINDOW_MILLIS = 5_000L
        const val PEAK_WINDOW_MILLIS = 10_000L
        const val MIN_SPAN_MILLIS = 2_000L

        /** Time in which callers that waited for a restart have been served or have left. */
        const val SETTLE_MILLIS = 4_000L
        const val MILLIS = 1000.0
    }
}
