package org.berylpoint.policy.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Run times of the last requests of one class; tells when a deadline can't be met. */
public class RunTimes(private val capacity: Int = 64) {
    private val recent = ArrayDeque<Duration>()

    /** Notes a request that took [duration] from dispatch to the end of its answer. */
    public fun add(duration: Duration) {
        if (recent.size == capacity) recent.removeFirst()
        recent.addLast(duration)
    }

    /**
     * Time below which a request hardly ever ends: the tenth percentile, the shortest while fewer than ten are known,
     * zero when none is. Without it an overloaded server spends its places on requests that end by their deadline.
     */
    public val tenthPercentile: Duration
        get() = if (recent.isEmpty()) Duration.ZERO else recent.sorted()[recent.size / TENTH]

    /** Mean run time, zero when none is known. */
    public val mean: Duration
        get() = if (recent.isEmpty()) {
            Duration.ZERO
        } else {
            recent.sumOf { it.toDouble(DurationUnit.MILLISECONDS) }.div(recent.size).milliseconds
        }

    private companion object {
        const val TENTH = 10
    }
}
