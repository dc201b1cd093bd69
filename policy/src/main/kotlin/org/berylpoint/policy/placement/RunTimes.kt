package org.berylpoint.policy.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Run times of the last [capacity] requests of one class, to predict whether a deadline can be met. */
public class RunTimes(private val capacity: Int = 64) {
    private val recent = ArrayDeque<Duration>()

    /** Adds a request that took [duration] from dispatch to the end of its response. */
    public fun add(duration: Duration) {
        if (recent.size == capacity) recent.removeFirst()
        recent.addLast(duration)
    }

    /**
     * Time within which a request rarely completes: the tenth percentile, which is the shortest run time while fewer
     * than ten are known, and zero while none is. Without it, an overloaded server uses its capacity for requests that
     * exceed their deadlines.
     */
    public val tenthPercentile: Duration
        get() = if (recent.isEmpty()) Duration.ZERO else recent.sorted()[recent.size / TENTH_PERCENTILE_DIVISOR]

    /** Mean run time, zero while none is known. */
    public val mean: Duration
        get() = if (recent.isEmpty()) {
            Duration.ZERO
        } else {
            recent.sumOf { it.toDouble(DurationUnit.MILLISECONDS) }.div(recent.size).milliseconds
        }

    private companion object {
        const val TENTH_PERCENTILE_DIVISOR = 10
    }
}
