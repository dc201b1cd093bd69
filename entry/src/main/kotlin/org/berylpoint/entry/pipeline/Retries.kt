package org.berylpoint.entry.pipeline

import org.berylpoint.model.RunState
import org.berylpoint.policy.retry.RetryBudget
import kotlin.time.TimeSource

/** The retry budget of this instance and the bound on attempts of one request. */
internal class Retries(private val time: TimeSource.WithComparableMarks) {
    private val budget = RetryBudget()

    fun first() = budget.first(time.markNow())

    /** Whether another attempt may follow [made] attempts. One that reached no server costs no budget. */
    fun tryRetry(exchange: Exchange, made: Int): Boolean =
        made < MAX_ATTEMPTS && (exchange.reached == RunState.NOT_RUN || budget.tryRetry(time.markNow()))

    private companion object {
        /** Attempts of one request, so that a request that always fails doesn't use up the budget alone. */
        const val MAX_ATTEMPTS = 4
    }
}
