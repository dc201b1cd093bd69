package org.berylpoint.entry.pipeline

import org.berylpoint.policy.retry.RetryBudget
import kotlin.time.TimeSource

/** The retry budget that all requests of this instance share. */
internal class InstanceRetryBudget(private val time: TimeSource.WithComparableMarks) {
    private val budget = RetryBudget()

    /** Counts the first attempt of a request and returns the retry limits of that request. */
    fun startRequest(): RequestRetries {
        budget.recordFirstAttempt(time.markNow())
        return RequestRetries()
    }

    /** The attempts that one request has used. */
    inner class RequestRetries {
        private var sent = 1
        private var unsent = 0

        /**
         * Whether a failed attempt may be retried; a true result counts the retry. An attempt of which no byte was sent
         * has put no load on a server and costs no budget.
         */
        fun mayRetry(wasSent: Boolean): Boolean = if (wasSent) {
            sent++ < MAX_SENT_ATTEMPTS && budget.tryRetry(time.markNow())
        } else {
            unsent++ < MAX_UNSENT_ATTEMPTS
        }
    }

    private companion object {
        /** Limits the sent attempts of a request, so that one that always fails can't use up the shared budget. */
        const val MAX_SENT_ATTEMPTS = 4

        /** Limits the unreachable servers that a request tries; each one is in back-off for all requests afterwards. */
        const val MAX_UNSENT_ATTEMPTS = 16
    }
}
