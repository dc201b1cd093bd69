package org.berylpoint.policy

import org.berylpoint.model.ClassLimits
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Concurrency limit of one backend server, in requests in flight, while the server warms up.
 *
 * The limit doubles from `rampStart` to `maxInFlight` in steps of equal duration that add up to `rampMillis`. A step
 * also requires as many on-time responses as the limit allows requests in flight, so that a limit is raised only after
 * it has been used. Slow responses, failures and crashes lower the limit. Instances are immutable.
 */
@ConsistentCopyVisibility
public data class ConcurrencyRamp private constructor(
    val limits: ClassLimits,
    val limit: Int,
    private val stepStartedAt: ComparableTimeMark,
    private val onTimeInStep: Int = 0,
    private val consecutiveSlow: Int = 0,
) {
    /** The ramp after one more on-time response; the limit doubles if the current step is complete. */
    public fun afterOnTimeResponse(now: ComparableTimeMark): ConcurrencyRamp {
        val count = onTimeInStep + 1
        val isStepComplete = limit < limits.maxInFlight && count >= limit && now - stepStartedAt >= stepDuration()
        return if (isStepComplete) {
            copy(
                limit = (limit * 2).coerceAtMost(limits.maxInFlight),
                stepStartedAt = now,
                onTimeInStep = 0,
                consecutiveSlow = 0,
            )
        } else {
            copy(onTimeInStep = count, consecutiveSlow = 0)
        }
    }

    /**
     * The ramp after a response whose first byte took more than twice the normal time; [inFlight] is the number of
     * requests that are still running on the server.
     *
     * The first slow response may be an outlier. It lowers the limit to the smaller of half the limit and [inFlight],
     * so that no request is added before the next response. A second consecutive one means that the server is cold and
     * restarts the ramp.
     */
    public fun afterSlowResponse(inFlight: Int, now: ComparableTimeMark): ConcurrencyRamp = if (consecutiveSlow > 0) {
        restarted(now).copy(consecutiveSlow = consecutiveSlow + 1)
    } else {
        lowered(minOf(limit / 2, inFlight), now, 1)
    }

    /** The ramp after a failed response or a timeout: the limit is halved. */
    public fun afterFailure(now: ComparableTimeMark): ConcurrencyRamp = lowered(limit / 2, now, consecutiveSlow)

    /** A new ramp from `rampStart`, as after a crash of the server. */
    public fun restarted(now: ComparableTimeMark): ConcurrencyRamp = start(limits, now)

    /** The ramp under the [changed] limits of the request class; the current limit is coerced into their bounds. */
    public fun withLimits(changed: ClassLimits): ConcurrencyRamp =
        if (changed == limits) this else copy(limits = changed, limit = limit.coerceIn(bounds(changed)))

    private fun lowered(target: Int, now: ComparableTimeMark, consecutiveSlow: Int): ConcurrencyRamp = copy(
        limit = target.coerceIn(bounds(limits)),
        stepStartedAt = now,
        onTimeInStep = 0,
        consecutiveSlow = consecutiveSlow,
    )

    private fun stepDuration(): Duration {
        val (start, max) = bounds(limits).let { it.first to it.last }
        val steps = generateSequence(start) { it * 2 }.takeWhile { it < max }.count().coerceAtLeast(1)
        return (limits.rampMillis / steps).milliseconds
    }

    public companion object {
        /** A ramp from `rampStart`, for a server that has just started or whose state is unknown. */
        public fun start(limits: ClassLimits, now: ComparableTimeMark): ConcurrencyRamp =
            resume(limits, limits.rampStart, now)

        /** A ramp that continues from the [limit] that the server had under its previous owner. */
        public fun resume(limits: ClassLimits, limit: Int, now: ComparableTimeMark): ConcurrencyRamp =
            ConcurrencyRamp(limits, limit.coerceIn(bounds(limits)), now)

        private fun bounds(limits: ClassLimits): IntRange {
            val max = limits.maxInFlight.coerceAtLeast(1)
            return limits.rampStart.coerceIn(1, max)..max
        }
    }
}
