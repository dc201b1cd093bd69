package org.berylpoint.policy.placement

/** How an attempt on a server ended, as far as it is a sign of the server's health. */
public enum class AttemptSignal { GOOD, FAILED, UNREACHABLE, REFUSED }

/**
 * Health of one server, judged by the outcomes of the requests sent to it.
 *
 * A server that is unreachable, or that fails most of its recent requests, is ejected for a time that doubles with each
 * repeated ejection, up to a maximum.
 */
public class ServerHealth {
    private var failureRate = 0.0
    private var samples = 0
    private var ejectedUntilMillis = Long.MIN_VALUE
    private var nextEjectionMillis = FIRST_EJECTION_MILLIS

    /** Whether the server should be skipped while other servers are available. */
    public fun isEjected(nowMillis: Long): Boolean = nowMillis < ejectedUntilMillis

    /** Records how an attempt on the server ended. */
    public fun recordOutcome(signal: AttemptSignal, nowMillis: Long) {
        when (signal) {
            AttemptSignal.GOOD -> {
                addSample(0.0)
                nextEjectionMillis = FIRST_EJECTION_MILLIS
            }
            AttemptSignal.FAILED -> {
                addSample(1.0)
                if (samples >= MIN_SAMPLES && failureRate > MAX_FAILURE_RATE) eject(nowMillis)
            }
            AttemptSignal.UNREACHABLE -> eject(nowMillis)
            AttemptSignal.REFUSED ->
                ejectedUntilMillis = maxOf(ejectedUntilMillis, nowMillis + REFUSED_EJECTION_MILLIS)
        }
    }

    private fun addSample(failure: Double) {
        samples++
        failureRate += FAILURE_WEIGHT * (failure - failureRate)
    }

    private fun eject(nowMillis: Long) {
        if (isEjected(nowMillis)) return
        ejectedUntilMillis = nowMillis + nextEjectionMillis
        nextEjectionMillis = (nextEjectionMillis * 2).coerceAtMost(MAX_EJECTION_MILLIS)
        failureRate = 0.0
        samples = 0
    }

    private companion object {
        const val FIRST_EJECTION_MILLIS = 1_000L
        const val MAX_EJECTION_MILLIS = 4_000L
        const val REFUSED_EJECTION_MILLIS = 150L
        const val MIN_SAMPLES = 4
        const val FAILURE_WEIGHT = 0.2
        const val MAX_FAILURE_RATE = 0.5
    }
}
