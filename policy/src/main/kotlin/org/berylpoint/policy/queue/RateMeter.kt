package org.berylpoint.policy.queue

import kotlin.math.exp

/**
 * Exponentially weighted rate of a quantity per millisecond, over the time in which there was work to do.
 */
internal class RateMeter {
    private var total = 0.0
    private var millis = 0.0
    private var updatedMillis = 0L

    /** Whether work waited since the last update; time without it does not count. */
    private var isBusy = false

    /** Time that the rate was measured over, at most the length of the window. */
    val spanMillis: Double get() = millis

    /** The rate; 0 while nothing was measured. */
    val perMilli: Double get() = if (millis <= 0.0) 0.0 else total / millis

    fun add(amount: Double) {
        total += amount
    }

    /** Brings the rate up to [nowMillis]; [isBusy] tells whether work waits from now on. */
    fun update(nowMillis: Long, isBusy: Boolean) {
        val elapsed = (nowMillis - updatedMillis).coerceAtLeast(0)
        updatedMillis = maxOf(updatedMillis, nowMillis)
        if (this.isBusy && elapsed > 0) {
            val kept = exp(-elapsed / WINDOW_MILLIS)
            total *= kept
            millis = millis * kept + WINDOW_MILLIS * (1 - kept)
        }
        if (!isBusy) {
            // What was measured in an earlier overload says little about the next one.
            total = 0.0
            millis = 0.0
        }
        this.isBusy = isBusy
    }

    companion object {
        const val WINDOW_MILLIS = 1_000.0
    }
}
