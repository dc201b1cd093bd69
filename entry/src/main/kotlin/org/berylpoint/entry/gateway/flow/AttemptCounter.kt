package org.berylpoint.entry.gateway.flow

import org.berylpoint.model.serving.Route

/** Counts the attempts of one request, and tells whether its [route] allows another one. */
internal class AttemptCounter(private val route: Route) {
    /** Attempts in which a server ran the request or may have run it. */
    var runs = 0
        private set

    /** Attempts in which the request may have reached a server. */
    var sends = 0
        private set

    /** Attempts in which nothing of the request was sent, for instance because the connection was refused. */
    private var unsent = 0

    /** Whether the request may be sent again if no server has run it. */
    val allowsSend: Boolean get() = sends < route.maxAttempts + EXTRA_SENDS && unsent < MAX_UNSENT

    /** Counts an attempt that ended with [end]. */
    fun count(end: AttemptEnd) {
        if (end.isUnsent) unsent++ else sends++
        if (end.mayHaveRun) runs++
    }

    /** Whether the request may run again, with [inProgress] runs that are not counted yet. */
    fun allowsRun(inProgress: Int = 0): Boolean = route.isIdempotent && runs + inProgress < route.maxAttempts

    private companion object {
        /** Sends that a request may make beyond the route's attempts when servers refuse it without running it. */
        const val EXTRA_SENDS = 1

        /** Attempts that one request may make in which nothing of it is sent. */
        const val MAX_UNSENT = 4
    }
}
