package org.berylpoint.entry.pipeline

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.withTimeoutOrNull
import org.berylpoint.entry.backend.BackendCall
import org.berylpoint.entry.backend.BackendEvent
import org.berylpoint.entry.once.StoredAnswer
import org.berylpoint.peer.AttemptOutcome
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private val logger = KotlinLogging.logger {}

/**
 * Sends one attempt and buffers its answer until it is complete.
 *
 * The attempt runs in [scope] to its end, even if the caller has disconnected: a service may go on with a request whose
 * connection closes, and its place in flight must stay reserved for as long.
 */
internal class BufferedCall(
    private val scope: CoroutineScope,
    private val dispatcher: Dispatcher,
    private val waitQueues: WaitQueues,
    private val time: TimeSource.WithComparableMarks,
) {
    /** Sends the request of [exchange] and releases the grant of [placement] whatever the result. */
    suspend fun run(exchange: Exchange, placement: Placement, attempt: String): Result =
        scope.async { runToEnd(exchange, placement, attempt) }.await()

    private suspend fun runToEnd(exchange: Exchange, placement: Placement, attempt: String): Result {
        val start = time.markNow()
        val answer = AnswerBuffer(start)
        val call = callOf(exchange, attempt, exchange.request.body, exchange.remaining)
        try {
            withTimeoutOrNull(exchange.limits.maxRunMillis.milliseconds) {
                dispatcher.send(exchange, placement, call).collect(answer::add)
            }
        } catch (e: CancellationException) {
            placement.grant.release(AttemptOutcome.CANCELLED)
            throw e
        } catch (e: Exception) {
            // An exception that escaped this job would cancel the node's scope and stop the whole instance.
            logger.error(e) { "pipeline: attempt $attempt failed" }
            answer.add(BackendEvent.Broken(sent = true, "unexpected ${e::class.simpleName}"))
        }
        val result = answer.result()
        val end = endOf(exchange, result, answer)
        if (end is AttemptEnd.Good || end is AttemptEnd.Slow) {
            waitQueues.recordRunTime(exchange.request.requestClass, start.elapsedNow())
        }
        dispatcher.settle(exchange, placement, attempt, end)
        return result
    }

    private fun endOf(exchange: Exchange, result: Result, answer: AnswerBuffer): AttemptEnd = when (result) {
        is Result.NotSent -> AttemptEnd.NotSent(result.detail)
        is Result.Broken -> AttemptEnd.Broken(result.detail)
        Result.TimedOut -> AttemptEnd.Failed("no complete answer in time")
        is Result.Complete -> answer.end(result.answer.status, exchange.limits.firstByteMillis.milliseconds)
    }

    private class AnswerBuffer(private val start: ComparableTimeMark) {
        private var head: BackendEvent.Head? = null
        private val body = StringBuilder()
        private var finalEvent: BackendEvent? = null
        private var firstByte: Duration = Duration.ZERO

        fun add(event: BackendEvent) {
            when (event) {
                is BackendEvent.Head -> {
                    head = event
                    firstByte = start.elapsedNow()
                }

                is BackendEvent.Data -> body.append(event.text)

                BackendEvent.KeepAlive -> Unit

                BackendEvent.End, is BackendEvent.Broken -> finalEvent = event
            }
        }

        fun result(): Result {
            val head = head
            return when (val last = finalEvent) {
                null -> Result.TimedOut

                is BackendEvent.Broken -> if (last.sent) Result.Broken(last.detail) else Result.NotSent(last.detail)

                else -> if (head == null) {
                    Result.Broken("the answer ended before its response head")
                } else {
                    Result.Complete(StoredAnswer(head.status, head.contentType, body.toString()))
                }
            }
        }

        fun end(status: Int, expectedFirstByte: Duration): AttemptEnd = when {
            status >= SERVER_ERROR -> AttemptEnd.Failed("status $status")
            firstByte > expectedFirstByte * 2 -> AttemptEnd.Slow
            else -> AttemptEnd.Good
        }
    }

    /** Result of a call. */
    sealed interface Result {
        data class Complete(val answer: StoredAnswer) : Result

        data class NotSent(val detail: String) : Result

        data class Broken(val detail: String) : Result

        /** The answer was not complete within the longest run time of the class. */
        data object TimedOut : Result
    }

    companion object {
        const val SERVER_ERROR = 500
    }
}

/** Builds the backend call for one attempt of the exchange's request. */
internal fun callOf(
    exchange: Exchange,
    attempt: String,
    body: String,
    remaining: Duration,
    stream: Boolean = false,
): BackendCall {
    val request = exchange.request
    return BackendCall(
        request = request.id,
        attempt = attempt,
        method = request.method,
        path = request.path,
        contentType = request.contentType,
        body = body,
        idempotencyKey = request.idempotencyKey?.value,
        stream = stream,
        remaining = remaining,
    )
}
