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
 * Serves an idempotent request to a plain service: one attempt, then retries on other servers as far as the retry
 * budget and the deadline allow. The answer is buffered until it is complete, so that a retry never sends the caller
 * a part of the answer twice.
 */
internal class IdempotentCallFilter(
    private val placer: Placer,
    private val bufferedCall: BufferedCall,
    private val judge: Judge,
    private val retryBudget: InstanceRetryBudget,
) : Filter {
    override suspend fun handle(exchange: Exchange) {
        val tried = HashSet<BackendServerId>()
        var lastAnswer: StoredAnswer? = null
        var lastDetail = "no attempt was made"
        val requestRetries = retryBudget.startRequest()
        while (true) {
            val attempt = exchange.nextAttempt()
            // An error answer of a server tells the caller more than the reason why no further attempt was possible.
            val placement = placer.place(exchange, Placer.Criteria(tried))
                .getOrElse { return exchange.end(lastAnswer, it) }
            checkPermission(exchange, placement, attempt)?.let { return exchange.end(lastAnswer, it) }
            if (!placement.grant.isUsable()) {
                placement.grant.release(AttemptOutcome.NOT_SENT)
                judge.releaseAttempt(exchange.request.fingerprint, attempt)
                continue
            }
            val result = bufferedCall.run(exchange, placement, attempt)
            when (result) {
                is BufferedCall.Result.Complete -> {
                    if (!isRetryable(result.answer.status)) return exchange.answer(result.answer)
                    lastAnswer = result.answer
                }

                is BufferedCall.Result.NotSent -> lastDetail = result.detail

                is BufferedCall.Result.Broken -> lastDetail = result.detail

                BufferedCall.Result.TimedOut -> lastDetail = "no complete answer in time"
            }
            tried += placement.server.id
            val wasSent = result !is BufferedCall.Result.NotSent
            if (exchange.remaining <= Duration.ZERO || !requestRetries.mayRetry(wasSent)) {
                return exchange.end(lastAnswer, Problem(failureKind(exchange), lastDetail))
            }
        }
    }

    /**
     * Returns why the attempt must not start, or null if it may. Releases the grant of [placement] if the attempt is
     * not permitted or the check is cancelled.
     */
    private suspend fun checkPermission(exchange: Exchange, placement: Placement, attempt: String): Problem? {
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
        exchange.runState == RunState.NOT_RUN -> ErrorKind.NoBackend
        else -> ErrorKind.BackendFailed
    }
}

private const val TOO_MANY_REQUESTS = 429

/** Whether an answer with HTTP [status] is worth a retry on another server. */
internal fun isRetryable(status: Int): Boolean = status >= BufferedCall.SERVER_ERROR || status == TOO_MANY_REQUESTS

/** Emits the complete [answer] to the caller. */
internal suspend fun Exchange.answer(answer: StoredAnswer) {
    emit(ResponseEvent.Head(answer.status, answer.contentType))
    if (answer.body.isNotEmpty()) emit(ResponseEvent.Data(answer.body))
    emit(ResponseEvent.End)
}
