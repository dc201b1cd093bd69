package org.berylpoint.entry.gateway.flow

import org.berylpoint.policy.placement.DurationEstimate

/** How long requests of each route have taken lately, from their arrival to the end of the response. */
internal class RouteDurations {
    private val estimates = LinkedHashMap<String, DurationEstimate>()

    @Synchronized
    fun record(route: String, millis: Long) {
        estimates.getOrPut(route) { DurationEstimate() }.add(millis.toDouble())
        if (estimates.size > MAX_ROUTES) estimates.remove(estimates.keys.first())
    }

    /** Time that a request of [route] may take; null if none has been completed yet. */
    @Synchronized
    fun expectedMillis(route: String): Long? = estimates[route]?.upperMillis?.toLong()

    private companion object {
        /** Routes come and go with configurations. */
        const val MAX_ROUTES = 400
    }
}
