package org.berylpoint.entry.gateway.queue

import org.berylpoint.model.serving.Route

/** What is known of the length of a request before it runs; null token counts where the caller declares none. */
internal class RequestSize(val route: Route, val promptTokens: Long?, val outputTokens: Long?)

/**
 * Estimates from the recent requests of each route how long one uses a slot, and how long it takes to its first event.
 *
 * Both are a multiple of what its tokens would take, so that long and short prompts of one route have estimates of
 * their own. Times are in milliseconds.
 */
internal class SlotWork {
    private class Ratios(var work: Double, var first: Double)

    private val routes = LinkedHashMap<String, Ratios>()

    /** Time for which a request uses a slot. */
    @Synchronized
    fun workMillis(size: RequestSize): Double = nominalWork(size) * ratiosOf(size).work

    /** Time from the sending of a request to the first event of its response. */
    @Synchronized
    fun firstEventMillis(size: RequestSize): Double = nominalFirst(size) * ratiosOf(size).first

    /** Records that a request used a slot for [millis]. */
    @Synchronized
    fun recordWork(size: RequestSize, millis: Long) {
        val ratios = ratiosOf(size)
        ratios.work += (millis / nominalWork(size) - ratios.work) * MEAN_GAIN
    }

    /** Records that the first event of a response came after [millis]. */
    @Synchronized
    fun recordFirstEvent(size: RequestSize, millis: Long) {
        val ratios = ratiosOf(size)
        // Follows a quantile: some requests wait long at a server, and they must not make all others look late.
        val isAbove = millis > nominalFirst(size) * ratios.first
        ratios.first *= if (isAbove) 1 + STEP_ABOVE else 1 - STEP_BELOW
    }

    private fun nominalFirst(size: RequestSize): Double =
        if (size.promptTokens == null) size.route.targetLatencyMillis * PLAIN_RATIO + 1 else prefillMillis(size)

    private fun nominalWork(size: RequestSize): Double =
        nominalFirst(size) + if (size.promptTokens == null) 0.0 else (size.outputTokens ?: 0) * TOKEN_MILLIS

    private fun prefillMillis(size: RequestSize): Double =
        MIN_PREFILL_MILLIS + (size.promptTokens ?: 0) / TOKENS_PER_MILLI

    private fun ratiosOf(size: RequestSize): Ratios {
        val ratios = routes.getOrPut(size.route.name) { Ratios(1.0, 1.0) }
        if (routes.size > MAX_ROUTES) routes.remove(routes.keys.first())
        return ratios
    }

    private companion object {
        /** Prompt tokens that an engine reads per millisecond, before it is known better. */
        const val TOKENS_PER_MILLI = 80.0

        /** Time of an output token, before it is known better. */
        const val TOKEN_MILLIS = 4.0
        const val MIN_PREFILL_MILLIS = 5.0

        /** Part of its target that a request without token counts takes, before it is known better. */
        const val PLAIN_RATIO = 0.25
        const val MEAN_GAIN = 0.05

        /** Steps whose ratio makes the estimate the time within which three of four first events come. */
        const val STEP_ABOVE = 0.06
        const val STEP_BELOW = 0.02

        /** Routes come and go with configurations. */
        const val MAX_ROUTES = 400
    }
}
