package org.berylpoint.policy.capacity

import org.berylpoint.policy.performance.ServerCapacity

/** Load that callers place on a service. */
public data class ServiceDemand(
    /** Prompt tokens to prefill, without those that prefix caches hold. */
    val prefillTokensPerSecond: Double,
    /** Requests in progress. */
    val active: Double,
) {
    /** Number of servers that carry this demand, each of which carries [capacity]. */
    public fun serversNeeded(capacity: ServerCapacity): Double = maxOf(
        prefillTokensPerSecond / capacity.prefillTokensPerSecond,
        active / capacity.requests,
        MIN_SERVERS,
    )

    private companion object {
        const val MIN_SERVERS = 2.0
    }
}

/**
 * Measures the demand for a service from the counters of all processes.
 *
 * The demand is the peak over the last seconds, because servers take seconds to start and load peaks recur. Requests
 * that arrive in the first seconds of a meter are ignored: after a restart of all instances these are the requests that
 * accumulated during the outage.
 */
public class DemandMeter {
    private class Sample(val atMillis: Long, val prefillTokens: Double, val active: Int)

    private val samples = ArrayDeque<Sample>()
    private val peaks = ArrayDeque<Pair<Long, ServiceDemand>>()
    private val lastCounts = HashMap<String, Long>()
    private var totalPrefillTokens = 0.0
    private var firstAddMillis: Long? = null

    /** Adds the counters of tokens to prefill, by process name, and the number of requests in progress. */
    public fun add(prefillTokens: Map<String, Long>, active: Int, nowMillis: Long) {
        for ((process, count) in prefillTokens) {
            // The first count of a process may include requests from long ago, so it only sets the baseline.
            totalPrefillTokens += (count - (lastCounts[process] ?: count)).coerceAtLeast(0)
            lastCounts[process] = count
        }
        val firstMillis = firstAddMillis ?: nowMillis.also { firstAddMillis = it }
        if (nowMillis - firstMillis < SETTLE_MILLIS) return
        addSample(Sample(nowMillis, totalPrefillTokens, active))
        currentDemand(nowMillis)?.let { peaks.addLast(nowMillis to it) }
        while (peaks.isNotEmpty() && nowMillis - peaks.first().first > PEAK_WINDOW_MILLIS) peaks.removeFirst()
    }

    /** The demand, or null as long as none has been measured. */
    public fun demand(): ServiceDemand? {
        if (peaks.isEmpty()) return null
        return ServiceDemand(peaks.maxOf { it.second.prefillTokensPerSecond }, peaks.maxOf { it.second.active })
    }

    private fun addSample(sample: Sample) {
        // The rate is measured from the first request on, not from the start of an idle site.
        if (samples.size == 1 && samples.first().prefillTokens == sample.prefillTokens) samples.removeFirst()
        samples.addLast(sample)
        while (samples.size > 1 && sample.atMillis - samples.first().atMillis > RATE_WINDOW_MILLIS) {
            samples.removeFirst()
        }
    }

    private fun currentDemand(nowMillis: Long): ServiceDemand? {
        val first = samples.first()
        val spanMillis = nowMillis - first.atMillis
        if (spanMillis < MIN_SPAN_MILLIS || totalPrefillTokens == 0.0) return null
        val rate = (totalPrefillTokens - first.prefillTokens) / spanMillis * MILLIS_PER_SECOND
        return ServiceDemand(rate, samples.sumOf { it.active }.toDouble() / samples.size)
    }

    private companion object {
        /** Long enough that a few consecutive long prompts do not count as a load peak. */
        const val RATE_WINDOW_MILLIS = 5_000L
        const val PEAK_WINDOW_MILLIS = 10_000L
        const val MIN_SPAN_MILLIS = 2_000L

        /** Time in which callers that waited during a restart have been served or have disconnected. */
        const val SETTLE_MILLIS = 4_000L
        const val MILLIS_PER_SECOND = 1000.0
    }
}
