package org.berylpoint.entry.pipeline

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.withTimeoutOrNull
import org.berylpoint.entry.judgement.Judge
import org.berylpoint.entry.once.OnceDecision
import org.berylpoint.entry.once.OnceRegistry
import org.berylpoint.entry.once.OnceTicket
import org.berylpoint.entry.once.StoredAnswer
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.Problem
import org.berylpoint.model.RunState
import org.berylpoint.peer.AttemptOutcome
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Serves a non-idempotent request: at most one dispatch, recorded before it starts, and no retry after it.
 *
 * The request runs in [scope] independently of the caller's connection, because a disconnect must not stop it.
 */
internal class NonIdempotentCallFilter(
    private val scope: CoroutineScope,
    private val once: OnceRegistry,
    private val placer: Placer,
    private val bufferedCall: BufferedCall,
    private val judge: Judge,
    private val drain: Drain,
) : Filter {
    override suspend fun handle(exchange: Exchange) {
        val execution = Execution(exchange)
        val running = scope.async { drain.track { execution.run() } }
        val result = withTimeoutOrNull(exchange.remaining) { running.await() }
            // If the key is released shortly after the deadline, the answer is a certain not-run instead of unknown.
            ?: withTimeoutOrNull(if (execution.isAcceptedOnly) KEY_RELEASE_WAIT else Duration.ZERO) { running.await() }
            ?: execution.problemAtDeadline().left()
        result.fold({ exchange.fail(it) }, { exchange.answer(it) })
    }

    /** Runs a request that another instance recorded as accepted, under that record; there is no caller to answer. */
    suspend fun runAccepted(exchange: Exchange, ticket: OnceTicket) {
        drain.track { Execution(exchange).run(ticket) }
    }

    private inner class Execution(val exchange: Exchange) {
        private var acceptedTicket: OnceTicket? = null
        private var isDispatching = false

        /** Whether this instance holds the record and has not begun to dispatch the request. */
        val isAcceptedOnly: Boolean get() = acceptedTicket != null && !isDispatching

        /**
         * Whether a request with this key may have run or may still run. Before the record is read, an earlier request
         * may have run; before the release of the key is confirmed, another instance may take over the record and run
         * the request.
         */
        private val mayHaveRun: Boolean get() = isDispatching || acceptedTicket?.mayRunElsewhere ?: true

        /** Returns the problem to report if there is no answer at the deadline. */
        fun problemAtDeadline(): Problem =
            if (mayHaveRun) outcomeUnknown("no answer within the deadline") else deadlineExceeded()

        /** Runs the request; with [heldTicket] it was already accepted and its record is held by this instance. */
        suspend fun run(heldTicket: OnceTicket? = null): Either<Problem, StoredAnswer> = try {
            if (heldTicket == null) beginAndRun() else dispatchOnce(heldTicket)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            // An exception that escaped this job would cancel the node's scope and stop the whole instance.
            logger.error(e) { "pipeline: non-idempotent request ${exchange.request.id} failed" }
            Problem(ErrorKind.Internal, "unexpected ${e::class.simpleName}").left()
        }

        private suspend fun beginAndRun(): Either<Problem, StoredAnswer> =
            when (val decision = once.begin(exchange.request)) {
                is OnceDecision.Answered -> decision.answer.right()
                is OnceDecision.Refused -> decision.problem.left()
                is OnceDecision.Run -> dispatchOnce(decision.ticket)
            }

        private suspend fun dispatchOnce(ticket: OnceTicket): Either<Problem, StoredAnswer> {
            acceptedTicket = ticket
            val attempt = exchange.nextAttempt()
            val placement = either {
                judge.permitAttempt(exchange.request.fingerprint, attempt).bind()
                placer.place(exchange).bind().also { recordDispatch(ticket, it) }
            }
            return placement.fold({ notRun(ticket, it) }, { send(ticket, it, attempt) })
        }

        /** Records the dispatch; releases the grant and raises the problem if the request must not be sent. */
        private suspend fun Raise<Problem>.recordDispatch(ticket: OnceTicket, placement: Placement) {
            val isLate = exchange.remaining <= Duration.ZERO
            val problem = if (isLate) deadlineExceeded() else storeDispatch(ticket, placement)
            if (problem != null) {
                placement.grant.release(AttemptOutcome.NOT_SENT)
                raise(problem)
            }
        }

        private suspend fun storeDispatch(ticket: OnceTicket, placement: Placement): Problem? {
            isDispatching = true
            val problem = ticket.dispatch(placement.server.id).leftOrNull()
            val expired = Problem(ErrorKind.Overloaded, "the grant of the place expired before the dispatch was stored")
            return problem ?: expired.takeUnless { placement.grant.isUsable() }
        }

        private suspend fun send(
            ticket: OnceTicket,
            placement: Placement,
            attempt: String,
        ): Either<Problem, StoredAnswer> = when (val result = bufferedCall.run(exchange, placement, attempt)) {
            is BufferedCall.Result.Complete -> {
                ticket.finish(result.answer)
                result.answer.right()
            }

            is BufferedCall.Result.NotSent -> notRun(ticket, Problem(ErrorKind.NoBackend, result.detail))

            is BufferedCall.Result.Broken -> {
                ticket.markOutcomeUnknown()
                outcomeUnknown(result.detail).left()
            }

            BufferedCall.Result.TimedOut -> {
                ticket.markOutcomeUnknown()
                outcomeUnknown("no complete answer within the longest run time of the class").left()
            }
        }

        private suspend fun notRun(ticket: OnceTicket, problem: Problem): Either<Problem, StoredAnswer> {
            ticket.abandon()
            val isAccurate = problem.runState != RunState.NOT_RUN || !ticket.mayRunElsewhere
            if (isAccurate) return problem.left()
            return outcomeUnknown("${problem.detail}; the key is not released yet").left()
        }
    }

    private fun outcomeUnknown(detail: String) = Problem(ErrorKind.OutcomeUnknown, detail, RunState.UNKNOWN)

    private fun deadlineExceeded() = Problem(ErrorKind.DeadlineExceeded, "the deadline passed before the dispatch")

    private companion object {
        /** Wait for the release of the key after the deadline: several times the duration of one table write. */
        val KEY_RELEASE_WAIT = 500.milliseconds
    }
}
