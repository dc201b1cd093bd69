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
 * The work runs in [scope], apart from the caller's connection, because a caller that disconnects must not stop it.
 */
internal class OnceFilter(
    private val scope: CoroutineScope,
    private val once: OnceRegistry,
    private val placer: Placer,
    private val wholeCall: WholeCall,
    private val judge: Judge,
    private val drain: Drain,
) : Filter {
    override suspend fun handle(exchange: Exchange) {
        val work = Work(exchange)
        val running = scope.async { drain.track { work.run() } }
        val result = withTimeoutOrNull(exchange.remaining) { running.await() }
            // The release of the key shortly after the deadline turns an unknown outcome into a true not-run.
            ?: withTimeoutOrNull(if (work.isOnlyAccepted) RELEASE_WAIT else Duration.ZERO) { running.await() }
            ?: (if (work.mayHaveRun) unknown("no answer within the deadline") else late()).left()
        result.fold({ exchange.fail(it) }, { exchange.answer(it) })
    }

    /** Runs a request that another instance accepted, under its record; there is no caller to answer. */
    suspend fun runHeld(exchange: Exchange, ticket: OnceTicket): Unit = drain.track { Work(exchange).run(ticket) }

    private inner class Work(val exchange: Exchange) {
        private var accepted: OnceTicket? = null
        private var isDispatching = false

        /** Whether this instance holds the record and has not begun to dispatch the request. */
        val isOnlyAccepted: Boolean get() = accepted != null && !isDispatching

        /**
         * Whether a request with this key may have run, or may yet. Until the record is read, an earlier request may
         * have; until its release is confirmed, another instance may take it over and run it.
         */
        val mayHaveRun: Boolean get() = isDispatching || accepted?.mayRunElsewhere ?: true

        suspend fun run(held: OnceTicket? = null): Either<Problem, StoredAnswer> = try {
            if (held == null) decide() else runOnce(held)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            // An exception that left this job would end the whole instance, as its scope is the node's.
            logger.error(e) { "pipeline: non-idempotent request ${exchange.request.id} failed" }
            Problem(ErrorKind.Internal, "unexpected ${e::class.simpleName}").left()
        }

        private suspend fun decide(): Either<Problem, StoredAnswer> =
            when (val decision = once.begin(exchange.request)) {
                is OnceDecision.Answered -> decision.answer.right()
                is OnceDecision.Refused -> decision.problem.left()
                is OnceDecision.Run -> runOnce(decision.ticket)
            }

        private suspend fun runOnce(ticket: OnceTicket): Either<Problem, StoredAnswer> {
            accepted = ticket
            val attempt = exchange.nextAttempt()
            val placement = either {
                judge.permitAttempt(exchange.request.fingerprint, attempt).bind()
                placer.place(exchange).bind().also { claim(ticket, it) }
            }
            return placement.fold({ notRun(ticket, it) }, { send(ticket, it, attempt) })
        }

        /** Stores the dispatch; gives the place back when the request must not be sent. */
        private suspend fun Raise<Problem>.claim(ticket: OnceTicket, placement: Placement) {
            val problem = if (exchange.remaining <= Duration.ZERO) late() else store(ticket, placement)
            if (problem != null) {
                placement.grant.release(AttemptOutcome.NOT_SENT)
                raise(problem)
            }
        }

        private suspend fun store(ticket: OnceTicket, placement: Placement): Problem? {
            isDispatching = true
            val problem = ticket.dispatch(placement.server.id).leftOrNull()
            val expired = Problem(ErrorKind.Overloaded, "the place expired before the dispatch was stored")
            return problem ?: expired.takeUnless { placement.grant.isUsable() }
        }

        private suspend fun send(
            ticket: OnceTicket,
            placement: Placement,
            attempt: String,
        ): Either<Problem, StoredAnswer> = when (val result = wholeCall.run(exchange, placement, attempt)) {
            is WholeCall.Result.Whole -> {
                ticket.finish(result.answer)
                result.answer.right()
            }

            is WholeCall.Result.NotSent -> notRun(ticket, Problem(ErrorKind.NoBackend, result.detail))

            is WholeCall.Result.Broken -> {
                ticket.outcomeUnknown()
                unknown(result.detail).left()
            }

            WholeCall.Result.Late -> {
                ticket.outcomeUnknown()
                unknown("no complete answer within the class's longest run time").left()
            }
        }

        private suspend fun notRun(ticket: OnceTicket, problem: Problem): Either<Problem, StoredAnswer> {
            ticket.abandon()
            val isTrue = problem.runState != RunState.NOT_RUN || !ticket.mayRunElsewhere
            return (if (isTrue) problem else unknown("${problem.detail}; the key is not released yet")).left()
        }
    }

    private fun unknown(detail: String) = Problem(ErrorKind.OutcomeUnknown, detail, RunState.UNKNOWN)

    private fun late() = Problem(ErrorKind.DeadlineExceeded, "the deadline passed before the dispatch")

    private companion object {
        // Several times what one write to the table service takes.
        val RELEASE_WAIT = 500.milliseconds
    }
}
