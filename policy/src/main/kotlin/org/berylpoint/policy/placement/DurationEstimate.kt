package org.berylpoint.policy.placement

import kotlin.math.abs

/**
 * Estimate of how long the next of many like operations may take, by a moving mean and mean deviation as in the
 * retransmission timeout of TCP (RFC 6298). Times are in milliseconds. Not thread-safe.
 */
public class DurationEstimate {
    private var mean = 0.0
    private var deviation = 0.0
    private var isEmpty = true

    /** Adds the duration of one operation. */
    public fun add(millis: Double) {
        if (isEmpty) {
            mean = millis
            deviation = millis / 2
            isEmpty = false
            return
        }
        deviation += DEVIATION_GAIN * (abs(millis - mean) - deviation)
        mean += MEAN_GAIN * (millis - mean)
    }

    /** Time within which most operations end; null before the first one. */
    public val upperMillis: Double? get() = if (isEmpty) null else mean + DEVIATIONS * deviation

    private companion object {
        const val MEAN_GAIN = 0.125
        const val DEVIATION_GAIN = 0.25
        const val DEVIATIONS = 2
    }
}
