package org.berylpoint.entry.pipeline

import arrow.core.getOrElse
import org.berylpoint.entry.judgement.Judge
import org.berylpoint.entry.once.StoredAnswer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.Problem
import org.berylpoint.model.ResponseEvent
import org.berylpoint.model.RunState
import org.berylpoint.peer.AttemptOutcome
import kotlin.time.Duration

/**
 * Serves an idempotent request to a plain service: one attempt, then others on other servers while the retry budget
 * and the deadline allow. The answer is given on only when it is whole, so that a retry repeats nothing.
 */
internal class CallFilter(
    private val placer: Placer,
    private val wholeCall: WholeCall,
    private val judge: Judge,
    private val retries: Retries,
) : Filter {
    override suspend fun handle(exchange: Exchange) {
        val tried = HashSet<BackendServerId>()
        var lastAnswer: StoredAnswer? = null
        var lastDetail = "no attempt was made"
        val tries = retries.newRequest()
        while (true) {
            val attempt = exchange.nextAttempt()
            // The error that a server gave is a better answer than that no other attempt can be made.
            val placement = placer.place(exchange, Placer.Wish(tried)).getOrElse { return exchange.end(lastAnswer, it) }
            permit(exchange, placement, attempt)?.let { return exchange.end(lastAnswer, it) }
            if (!placement.grant.isUsable()) {
                placement.grant.release(AttemptOutcome.NOT_SENT)
                judge.releaseAttempt(exchange.request.fingerprint, attempt)
                continue
            }
            val result = wholeCall.run(exchange, placement, attempt)
            when (result) {
                is WholeCall.Result.Whole -> {
                    if (!isRetryable(result.answer.status)) return exchange.answer(result.answer)
                    lastAnswer = result.answer
                }

                is WholeCall.Result.NotSent -> lastDetail = result.detail

                is WholeCall.Result.Broken -> lastDetail = result.detail

                WholeCall.Result.Late -> lastDetail = "no complete answer in time"
            }
            tried += placement.server.id
            if (exchange.remaining <= Duration.ZERO || !tries.mayRetry(wasSent = result !is WholeCall.Result.NotSent)) {
                return exchange.end(lastAnswer, Problem(failureKind(exchange), lastDetail))
            }
        }
    }

    /** Why the attempt must not start; the place is given back then, and when the wait for the answer is cancelled. */
    private suspend fun permit(exchange: Exchange, placement: Placement, attempt: String): Problem? {
        var isPermitted = false
        try {
            val problem = judge.permitAttempt(exchange.request.fingerprint, attempt, placement.server.id).leftOrNull()
            isPermitted = problem == null
            return problem
        } finally {
            if (!isPermitted) placement.grant.release(AttemptOutcome.NOT_SENT)
        }
    }

    private suspend fun Exchange.end(lastAnswer: StoredAnswer?, problem: Problem) =
        if (lastAnswer != null) answer(lastAnswer) else fail(problem)

    private fun failureKind(exchange: Exchange) = when {
        exchange.remaining <= Duration.ZERO -> ErrorKind.DeadlineExceeded
        exchange.reached == RunState.NOT_RUN -> ErrorKind.NoBackend
        else -> ErrorKind.BackendFailed
    }
}

private const val TOO_MANY_REQUESTS = 429

/** Whether another server may give a better answer than one with [status]. */
internal fun isRetryable(status: Int): Boolean = status >= WholeCall.SERVER_ERROR || status == TOO_MANY_REQUESTS

/** Gives a whole answer to the caller. */
internal suspend fun Exchange.answer(answer: StoredAnswer) {
    emit(ResponseEvent.Head(answer.status, answer.contentType))
    if (answer.body.isNotEmpty()) emit(ResponseEvent.Data(answer.body))
    emit(ResponseEvent.End)
}
