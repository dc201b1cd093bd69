package org.berylpoint.entry.gateway.flow

import org.berylpoint.entry.gateway.server.SendObstacle

/** How an attempt ended. */
internal sealed interface AttemptEnd {
    /** Value of the label `end` of the metric `berylpoint_attempt_failures_total`. */
    val metricLabel: String

    /** Whether the server got nothing of the request. */
    val isUnsent: Boolean get() = false

    /** Whether the server ran the request or may have run it. */
    val mayHaveRun: Boolean get() = true

    /** The response is complete; the events of a stream have been sent to the caller already. */
    class Complete(val status: Int, val headers: List<Pair<String, String>>, val body: ByteArray) : AttemptEnd {
        override val metricLabel get() = "Complete"
    }

    /** The server responded with an error status. */
    class Error(val status: Int, val headers: List<Pair<String, String>>, val body: ByteArray) : AttemptEnd {
        override val metricLabel get() = "Error"

        override fun toString() = "status $status"
    }

    /** The request did not run: if [reachedServer], the server stated so; otherwise it got nothing of the request. */
    class NotRun(val reachedServer: Boolean, val cause: String) : AttemptEnd {
        override val metricLabel get() = "NotRun"
        override val isUnsent get() = !reachedServer
        override val mayHaveRun get() = false

        override fun toString() = "not run: $cause"
    }

    /** Nothing of the request was sent, by a decision of this instance. */
    class Withheld(val obstacle: SendObstacle) : AttemptEnd {
        override val metricLabel get() = "Withheld"
        override val isUnsent get() = true
        override val mayHaveRun get() = false

        override fun toString() = "not sent: ${obstacle.description}"
    }

    /**
     * The response is incomplete or did not come, and the request may have run. [hadBegun] if more of the response came
     * than a server may send before the request crashes it.
     */
    class Interrupted(val isConnectionLost: Boolean, val hadBegun: Boolean, val cause: String) : AttemptEnd {
        override val metricLabel get() = "Broke"

        override fun toString() = "broken: $cause"
    }

    /** The server made no progress for too long. A place for a further attempt is reserved. */
    class Stalled(val cause: String) : AttemptEnd {
        override val metricLabel get() = "Broke"

        override fun toString() = "broken: $cause"
    }

    /** The caller's deadline or the route's timeout passed; [hadNotStarted] if no server had shown that it ran. */
    class TimedOut(val hadNotStarted: Boolean) : AttemptEnd {
        override val metricLabel get() = "TimedOut"

        override fun toString() = "timed out"
    }

    data object CallerDisconnected : AttemptEnd {
        override val metricLabel get() = "CallerLeft"

        override fun toString() = "CallerLeft"
    }
}
