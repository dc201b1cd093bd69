package org.berylpoint.policy.performance

import kotlin.math.log2
import kotlin.math.pow
import kotlin.math.roundToInt

/**
 * A duration of the servers of one service as a function of the part of their slots that is in use, learned as a
 * [quantile] in each of a few ranges of that part and interpolated between them. Durations are reported relative to
 * [unitMillis].
 */
internal class ServiceCurve(name: String, private val unitMillis: Double, private val quantile: Double) {
    /** Keys of the ranges in reports. */
    val keys = List(RANGES) { reportKey("$name#$it") }
    private val samples = List(RANGES) { RecentSamples(SAMPLE_WINDOW_MILLIS, SAMPLES) }
    private val pooled = List(RANGES) { PooledEvidence(HALF_LIFE_MILLIS) }
    private val lastSampleMillis = LongArray(RANGES) { Long.MIN_VALUE / 2 }
    private var lastReported = 0
    private val table = DoubleArray(TABLE_STEPS + 1) { Double.NaN }
    private var tableAtMillis = Long.MIN_VALUE / 2

    fun observe(occupancy: Double, millis: Double, nowMillis: Long) {
        val range = rangeOf(occupancy)
        // Streams give many observations a second; a sample of them covers some seconds.
        if (nowMillis - lastSampleMillis[range] < MIN_SAMPLE_INTERVAL_MILLIS) return
        lastSampleMillis[range] = nowMillis
        samples[range].add(log2(millis / unitMillis), nowMillis)
        samples[range].quantile(quantile, nowMillis)?.let {
            pooled[range].put(OWN, it, samples[range].count(nowMillis), nowMillis)
        }
    }

    /** Records [value], whose key is one of [keys]. */
    fun merge(value: LearnedValue, source: String, nowMillis: Long) {
        pooled.getOrNull(keys.indexOf(value.key))?.put(source, value.log2, value.weight, nowMillis)
    }

    /** What this instance has observed newly in one range, another one each time; null if there is nothing new. */
    fun takeNews(nowMillis: Long): LearnedValue? {
        val range = (1..RANGES).map { (lastReported + it) % RANGES }.firstOrNull { samples[it].hasNews } ?: return null
        lastReported = range
        samples[range].takeNews()
        return samples[range].quantile(quantile, nowMillis)
            ?.let { LearnedValue.of(keys[range], it, samples[range].count(nowMillis)) }
    }

    /** Expected duration in milliseconds at [occupancy]; null without evidence of the last seconds. */
    fun millis(occupancy: Double, nowMillis: Long): Double? {
        // A placement asks for each server, so that interpolation is only done now and then.
        if (nowMillis - tableAtMillis >= MIN_REFRESH_MILLIS) {
            for (i in table.indices) table[i] = interpolated(i.toDouble() / TABLE_STEPS, nowMillis) ?: Double.NaN
            tableAtMillis = nowMillis
        }
        val value = table[(occupancy * TABLE_STEPS).roundToInt().coerceIn(0, TABLE_STEPS)]
        return if (value.isNaN()) null else value
    }

    private fun interpolated(occupancy: Double, nowMillis: Long): Double? {
        val known = pooled.indices.mapNotNull { range ->
            val result = pooled[range].result(nowMillis)
            result.log2?.takeIf { nowMillis - pooled[range].updatedAtMillis <= FORGET_MILLIS }
                ?.let { centre(range) to unitMillis * 2.0.pow(it) }
        }
        if (known.isEmpty()) return null
        val above = known.indexOfFirst { it.first >= occupancy }
        return when (above) {
            0 -> known.first().second
            -1 -> known.last().second
            else -> {
                val (x0, y0) = known[above - 1]
                val (x1, y1) = known[above]
                y0 + (y1 - y0) * (occupancy - x0) / (x1 - x0)
            }
        }
    }

    /** Observations that the durations rest on, decayed and with a bounded number of each instance. */
    fun evidence(nowMillis: Long): Double = pooled.sumOf { it.result(nowMillis).weight }

    private fun rangeOf(occupancy: Double) = (occupancy * RANGES).toInt().coerceIn(0, RANGES - 1)

    private fun centre(range: Int) = (range + 0.5) / RANGES

    private companion object {
        const val RANGES = 4
        const val SAMPLES = 128
        const val TABLE_STEPS = 32
        const val MIN_REFRESH_MILLIS = 50L

        /**
         * Age at which evidence is given up. Estimates that are too high refuse requests, and would then never be
         * corrected.
         */
        const val FORGET_MILLIS = 10_000L
        const val MIN_SAMPLE_INTERVAL_MILLIS = 20L
        const val SAMPLE_WINDOW_MILLIS = 3_000L

        /** Longer than for a single server: the mix of requests changes more slowly than a server's speed. */
        const val HALF_LIFE_MILLIS = 2_000L
    }
}

/** Source of this instance's own observations in [PooledEvidence]; no instance has an empty name. */
internal const val OWN = ""
