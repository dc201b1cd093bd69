package org.berylpoint.policy

import org.berylpoint.model.ClassLimits
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The limit of one backend server, in requests in flight, as it warms up and as it turns out to be cold.
 *
 * The limit doubles from `rampStart` to `maxInFlight` in equal steps over `rampMillis`. A step also needs as many
 * answers on time as the limit allows in flight, so that a limit is only raised after it was in use.
 */
@ConsistentCopyVisibility
public data class ConcurrencyRamp private constructor(
    val limits: ClassLimits,
    val limit: Int,
    private val stepSince: ComparableTimeMark,
    private val onTime: Int = 0,
    private val slowInRow: Int = 0,
) {
    /** Counts an answer on time. */
    public fun afterOnTimeResponse(now: ComparableTimeMark): ConcurrencyRamp {
        val count = onTime + 1
        val grows = limit < limits.maxInFlight && count >= limit && now - stepSince >= stepDuration()
        return if (grows) {
            copy(limit = (limit * 2).coerceAtMost(limits.maxInFlight), stepSince = now, onTime = 0, slowInRow = 0)
        } else {
            copy(onTime = count, slowInRow = 0)
        }
    }

    /**
     * Counts an answer whose first byte took more than twice the normal time; [inFlight] are the requests still on
     * the server.
     *
     * The first such answer may be an outlier: it cuts the limit to at most half and to what is in flight, so that no
     * request is added before the next answer. A second one in a row marks the server as cold.
     */
    public fun afterSlowResponse(inFlight: Int, now: ComparableTimeMark): ConcurrencyRamp =
        if (slowInRow > 0) restarted(now).copy(slowInRow = slowInRow + 1) else cutTo(minOf(limit / 2, inFlight), now, 1)

    /** Counts a failed answer or a timeout: the limit is halved. */
    public fun afterFailure(now: ComparableTimeMark): ConcurrencyRamp = cutTo(limit / 2, now, slowInRow)

    /** Starts again at `rampStart`, as after a crash of the server. */
    public fun restarted(now: ComparableTimeMark): ConcurrencyRamp = start(limits, now)

    /** Takes over changed limits of the class. */
    public fun withLimits(changed: ClassLimits): ConcurrencyRamp =
        if (changed == limits) this else copy(limits = changed, limit = limit.coerceIn(bounds(changed)))

    private fun cutTo(target: Int, now: ComparableTimeMark, slow: Int): ConcurrencyRamp =
        copy(limit = target.coerceIn(bounds(limits)), stepSince = now, onTime = 0, slowInRow = slow)

    private fun stepDuration(): Duration {
        val (start, max) = bounds(limits).let { it.first to it.last }
        val steps = generateSequence(start) { it * 2 }.takeWhile { it < max }.count().coerceAtLeast(1)
        return (limits.rampMillis / steps).milliseconds
    }

    public companion object {
        /** The ramp of a server that is fresh, or whose state is not known. */
        public fun start(limits: ClassLimits, now: ComparableTimeMark): ConcurrencyRamp = resume(limits, limits.rampStart, now)

        /** The ramp of a server that had [limit] under its previous owner. */
        public fun resume(limits: ClassLimits, limit: Int, now: ComparableTimeMark): ConcurrencyRamp =
            ConcurrencyRamp(limits, limit.coerceIn(bounds(limits)), now)

        private fun bounds(limits: ClassLimits): IntRange {
            val max = limits.maxInFlight.coerceAtLeast(1)
            return limits.rampStart.coerceIn(1, max)..max
        }
    }
}
