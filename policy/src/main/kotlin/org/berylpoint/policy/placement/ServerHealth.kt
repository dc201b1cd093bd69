package org.berylpoint.policy.placement

/** How an attempt on a server ended, as far as it tells about the server. */
public enum class AttemptSignal { GOOD, FAILED, UNREACHABLE, REFUSED }

/**
 * Judges one server by the outcomes of requests sent to it.
 *
 * A server that can't be reached, or that fails most of its last requests, rests for a time that doubles with each
 * renewed failure. Delays are kept as a moving average to compare servers of a service with each other.
 */
public class ServerHealth {
    private var failureShare = 0.0
    private var samples = 0
    private var restUntilMillis = Long.MIN_VALUE
    private var restMillis = FIRST_REST_MILLIS

    /** Moving average of the time per unit of expected delay; 1 when answers come as expected. */
    public var delayFactor: Double = 1.0
        private set

    /** Whether the server is to be passed over while others are there. */
    public fun isEjected(nowMillis: Long): Boolean = nowMillis < restUntilMillis

    /** Takes in the end of an attempt. */
    public fun recordOutcome(signal: AttemptSignal, nowMillis: Long) {
        when (signal) {
            AttemptSignal.GOOD -> {
                average(0.0)
                restMillis = FIRST_REST_MILLIS
            }
            AttemptSignal.FAILED -> {
                average(1.0)
                if (samples >= MIN_SAMPLES && failureShare > MAX_FAILURE_SHARE) rest(nowMillis)
            }
            AttemptSignal.UNREACHABLE -> rest(nowMillis)
            AttemptSignal.REFUSED -> restUntilMillis = maxOf(restUntilMillis, nowMillis + REFUSED_REST_MILLIS)
        }
    }

    /** Takes in the delay of a first event against the delay that was expected. */
    public fun recordDelay(actualMillis: Double, expectedMillis: Double) {
        val ratio = (actualMillis / maxOf(expectedMillis, MIN_EXPECTED_MILLIS)).coerceIn(MIN_RATIO, MAX_RATIO)
        delayFactor += DELAY_FACTOR_WEIGHT * (ratio - delayFactor)
    }

    private fun average(value: Double) {
        samples++
        failureShare += FAILURE_WEIGHT * (value - failureShare)
    }

    private fun rest(nowMillis: Long) {
        if (isEjected(nowMillis)) return
        restUntilMillis = nowMillis + restMillis
        restMillis = (restMillis * 2).coerceAtMost(LONGEST_REST_MILLIS)
        failureShare = 0.0
        samples = 0
    }

    private companion object {
        const val FIRST_REST_MILLIS = 1_000L
        const val LONGEST_REST_MILLIS = 4_000L
        const val REFUSED_REST_MILLIS = 150L
        const val MIN_SAMPLES = 4
        const val FAILURE_WEIGHT = 0.2
        const val MAX_FAILURE_SHARE = 0.5
        const val DELAY_FACTOR_WEIGHT = 0.15
        const val MIN_EXPECTED_MILLIS = 30.0
        const val MIN_RATIO = 0.5
        const val MAX_RATIO = 10.0
    }
}
