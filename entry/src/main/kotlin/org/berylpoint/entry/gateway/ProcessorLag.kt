package org.berylpoint.entry.gateway

import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/**
 * How late this process gets its turns on the processor, measured by how late a timer ends. On an instance that is
 * short of processor time each hand-over between threads takes about this long.
 */
public class ProcessorLag(
    private val clocks: Clocks,
    private val log: DecisionLog,
    private val onMeasured: (lagMillis: Long, nowMillis: Long) -> Unit,
) {
    /** Steady-clock time at which the measurement in progress is due to end. */
    @Volatile
    private var dueAtMillis = Long.MAX_VALUE

    @Volatile
    private var lastMillis = 0L
    private var loggedAtMillis = Long.MIN_VALUE / 2

    /** Lag of the last measurement, or of the one in progress where that is longer already. */
    public val millis: Long get() = maxOf(lastMillis, clocks.steadyMillis - dueAtMillis)

    /** Measures until it is cancelled. */
    public suspend fun measure() {
        while (true) {
            dueAtMillis = clocks.steadyMillis + INTERVAL.inWholeMilliseconds
            delay(INTERVAL)
            val now = clocks.steadyMillis
            lastMillis = (now - dueAtMillis).coerceAtLeast(0)
            onMeasured(lastMillis, now)
            if (lastMillis >= LOGGED_MILLIS) logLag()
        }
    }

    private fun logLag() {
        val now = clocks.steadyMillis
        if (now - loggedAtMillis < LOG_INTERVAL_MILLIS) return
        loggedAtMillis = now
        log.event("process", "short of processor time", "lag" to lastMillis)
    }

    private companion object {
        val INTERVAL = 50.milliseconds

        /** Lag at which requests with the shortest targets come late. */
        const val LOGGED_MILLIS = 100L
        const val LOG_INTERVAL_MILLIS = 1_000L
    }
}
