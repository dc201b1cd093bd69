package org.berylpoint.entry.pipeline

import org.berylpoint.policy.retry.RetryBudget
import kotlin.time.TimeSource

/** The retry budget that all requests of this instance share. */
internal class SharedRetryBudget(private val time: TimeSource.WithComparableMarks) {
    private val budget = RetryBudget()

    /** Counts a request's first attempt. */
    fun startRequest(): RequestRetries {
        budget.recordFirstAttempt(time.markNow())
        return RequestRetries()
    }

    /** The attempts of one request. */
    inner class RequestRetries {
        private var sent = 1
        private var unsent = 0

        /**
         * Whether another attempt may follow one that failed. An attempt of which no byte was sent has put no load on a
         * server and costs no budget.
         */
        fun mayRetry(wasSent: Boolean): Boolean =
            if (wasSent) sent++ < MAX_SENT && budget.tryRetry(time.markNow()) else unsent++ < MAX_UNSENT
    }

    private companion object {
        /** Attempts of one request, so that a request that always fails doesn't use up the budget alone. */
        const val MAX_SENT = 4

        /** Dead servers that one request meets; each is avoided by all requests afterwards. */
        const val MAX_UNSENT = 16
    }
}
