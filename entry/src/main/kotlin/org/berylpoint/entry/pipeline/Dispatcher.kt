package org.berylpoint.entry.pipeline

import arrow.core.Either
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.onEach
import kotlinx.coroutines.launch
import org.berylpoint.entry.backend.BackendCall
import org.berylpoint.entry.backend.BackendClient
import org.berylpoint.entry.backend.BackendEvent
import org.berylpoint.entry.backend.ListedServer
import org.berylpoint.entry.backend.ProbeFailure
import org.berylpoint.entry.backend.ServerDirectory
import org.berylpoint.entry.judgement.EvidenceOutcome
import org.berylpoint.entry.judgement.Judge
import org.berylpoint.model.BackendServer
import org.berylpoint.peer.AttemptOutcome
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Sends attempts and settles them: the place is given back and the outcome counted. */
internal class Dispatcher(
    private val client: BackendClient,
    private val directory: ServerDirectory,
    private val judge: Judge,
    private val loads: LoadView,
    private val scope: CoroutineScope,
) {
    /** The events of one attempt; the exchange learns whether a server may have been reached. */
    fun send(exchange: Exchange, placement: Placement, call: BackendCall): Flow<BackendEvent> {
        exchange.attemptStarted()
        return client.send(placement.server, call).onEach {
            when (it) {
                is BackendEvent.Broken -> if (!it.sent) exchange.attemptNotSent()
                is BackendEvent.Head, is BackendEvent.Data -> exchange.ran()
                BackendEvent.KeepAlive, BackendEvent.End -> Unit
            }
        }
    }

    /**
     * Gives the place back and counts [end] for the version, the link, or the request. Runs to its end even when the
     * caller goes or the deadline passes meanwhile.
     */
    suspend fun settle(exchange: Exchange, placement: Placement, attempt: String, end: AttemptEnd) {
        if (end is AttemptEnd.Broken) {
            scope.launch { count(exchange, placement, attempt, end) }.join()
        } else {
            count(exchange, placement, attempt, end)
        }
    }

    private suspend fun count(exchange: Exchange, placement: Placement, attempt: String, end: AttemptEnd) {
        val id = placement.server.id
        val outcome = when (end) {
            AttemptEnd.Good -> AttemptOutcome.COMPLETED
            AttemptEnd.Slow -> AttemptOutcome.SLOW
            is AttemptEnd.Failed -> AttemptOutcome.FAILED
            is AttemptEnd.NotSent -> AttemptOutcome.NOT_SENT
            is AttemptEnd.Broken -> afterBreak(exchange, placement, attempt)
            AttemptEnd.Abandoned, is AttemptEnd.Silent -> AttemptOutcome.CANCELLED
        }
        if (end is AttemptEnd.Silent) releaseLater(placement, end.hold) else placement.grant.release(outcome)
        when (outcome) {
            AttemptOutcome.COMPLETED -> record(exchange, placement, EvidenceOutcome.GOOD)

            AttemptOutcome.SLOW -> record(exchange, placement, EvidenceOutcome.SLOW)

            AttemptOutcome.FAILED -> record(exchange, placement, EvidenceOutcome.FAILED)

            AttemptOutcome.CRASHED, AttemptOutcome.NOT_SENT -> loads.avoid(id)

            // Neither the version nor the link is known to be at fault.
            AttemptOutcome.CANCELLED -> Unit
        }
        if (outcome == AttemptOutcome.COMPLETED || outcome == AttemptOutcome.SLOW) loads.answered(id)
        if (outcome != AttemptOutcome.CRASHED) judge.releaseAttempt(exchange.request.fingerprint, attempt)
    }

    /** Whether [server] takes a new connection, and its health if so. */
    suspend fun probe(server: BackendServer): Either<ProbeFailure, Boolean> = client.probe(server, PROBE_TIMEOUT)

    private fun releaseLater(placement: Placement, hold: Duration) {
        scope.launch {
            delay(hold)
            placement.grant.release(AttemptOutcome.CANCELLED)
        }
    }

    /** Tells a crash of the server, which the request may have caused, from a break of the connection. */
    private suspend fun afterBreak(exchange: Exchange, placement: Placement, attempt: String): AttemptOutcome {
        val refused = probe(placement.server).leftOrNull() == ProbeFailure.Refused
        return when {
            !refused -> AttemptOutcome.FAILED

            // A server that ends after a reclaim notice was stopped by the cloud, not by a request.
            isLeaving(placement) -> AttemptOutcome.CANCELLED

            else -> {
                judge.recordCrash(exchange.request.fingerprint, attempt)
                AttemptOutcome.CRASHED
            }
        }
    }

    private fun isLeaving(placement: Placement) =
        directory.find(placement.server.id)?.state is ListedServer.State.Leaving

    private fun record(exchange: Exchange, placement: Placement, outcome: EvidenceOutcome) =
        judge.recordOutcome(placement.listed.entry, placement.server, routeOf(exchange.request), outcome)

    private companion object {
        /** Within a failure domain a new connection takes about a millisecond; a second covers a lost packet. */
        val PROBE_TIMEOUT: Duration = 1.seconds
    }
}

/** How an attempt ended. */
internal sealed interface AttemptEnd {
    data object Good : AttemptEnd

    /** Complete, but the first byte came later than twice the class's normal. */
    data object Slow : AttemptEnd

    /** The server answered with an error or too late. */
    data class Failed(val detail: String) : AttemptEnd

    /** No byte of the request left. */
    data class NotSent(val detail: String) : AttemptEnd

    /** The connection broke after a byte may have left. */
    data class Broken(val detail: String) : AttemptEnd

    /**
     * The connection is silent while new ones work. The server may not learn that this one was closed, so the place
     * counts for [hold], the time that the request would take to its end.
     */
    data class Silent(val hold: Duration) : AttemptEnd

    /** Given up by this instance or its caller; no fault of the server. */
    data object Abandoned : AttemptEnd
}
