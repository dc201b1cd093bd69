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

/** Sends attempts and settles them: releases the grant and records the outcome. */
internal class Dispatcher(
    private val client: BackendClient,
    private val directory: ServerDirectory,
    private val judge: Judge,
    private val loads: ServerLoads,
    private val scope: CoroutineScope,
) {
    /** Sends one attempt and returns its events. Updates the run state of [exchange] as events arrive. */
    fun send(exchange: Exchange, placement: Placement, call: BackendCall): Flow<BackendEvent> {
        exchange.markAttemptStarted()
        val guarded = call.copy(isStillAccepted = { isInService(placement) })
        return client.send(placement.server, guarded).onEach {
            when (it) {
                is BackendEvent.Broken -> if (!it.sent) exchange.markAttemptNotSent()
                is BackendEvent.Head, is BackendEvent.Data -> exchange.markRan()
                BackendEvent.KeepAlive, BackendEvent.End -> Unit
            }
        }
    }

    /**
     * Releases the grant and records [end] as evidence about the version, as a connection failure of the server, or as
     * a crash caused by the request. After a broken connection this completes even if the caller disconnects or the
     * deadline passes.
     */
    suspend fun settle(exchange: Exchange, placement: Placement, attempt: String, end: AttemptEnd) {
        if (end is AttemptEnd.Broken) {
            scope.launch { settleNow(exchange, placement, attempt, end) }.join()
        } else {
            settleNow(exchange, placement, attempt, end)
        }
    }

    private suspend fun settleNow(exchange: Exchange, placement: Placement, attempt: String, end: AttemptEnd) {
        val id = placement.server.id
        val outcome = when (end) {
            AttemptEnd.Good -> AttemptOutcome.COMPLETED
            AttemptEnd.Slow -> AttemptOutcome.SLOW
            is AttemptEnd.Failed -> AttemptOutcome.FAILED
            is AttemptEnd.NotSent -> AttemptOutcome.NOT_SENT
            is AttemptEnd.Broken -> outcomeOfBreak(exchange, placement, attempt)
            AttemptEnd.Abandoned, is AttemptEnd.Silent -> AttemptOutcome.CANCELLED
        }
        if (end is AttemptEnd.Silent) releaseLater(placement, end.hold) else placement.grant.release(outcome)
        when (outcome) {
            AttemptOutcome.COMPLETED -> record(exchange, placement, EvidenceOutcome.GOOD)

            AttemptOutcome.SLOW -> record(exchange, placement, EvidenceOutcome.SLOW)

            AttemptOutcome.FAILED -> record(exchange, placement, EvidenceOutcome.FAILED)

            AttemptOutcome.CRASHED, AttemptOutcome.NOT_SENT -> loads.startBackoff(id)

            // Neither the version nor the connection to the server is known to be at fault.
            AttemptOutcome.CANCELLED -> Unit
        }
        if (outcome == AttemptOutcome.COMPLETED || outcome == AttemptOutcome.SLOW) loads.clearBackoff(id)
        if (outcome != AttemptOutcome.CRASHED) judge.releaseAttempt(exchange.request.fingerprint, attempt)
    }

    /** Opens a new connection to [server]; returns whether the server is ready, or why the probe failed. */
    suspend fun probe(server: BackendServer): Either<ProbeFailure, Boolean> = client.probe(server, PROBE_TIMEOUT)

    private fun releaseLater(placement: Placement, hold: Duration) {
        scope.launch {
            delay(hold)
            placement.grant.release(AttemptOutcome.CANCELLED)
        }
    }

    /** Distinguishes a crash of the server, which the request may have caused, from a broken connection. */
    private suspend fun outcomeOfBreak(exchange: Exchange, placement: Placement, attempt: String): AttemptOutcome {
        val refused = probe(placement.server).leftOrNull() == ProbeFailure.Refused
        return when {
            !refused -> AttemptOutcome.FAILED

            // A server that exits after a reclaim notice was stopped by the cloud provider, not by a request.
            isLeaving(placement) -> AttemptOutcome.CANCELLED

            else -> {
                judge.recordCrash(exchange.request.fingerprint, attempt)
                AttemptOutcome.CRASHED
            }
        }
    }

    private fun isInService(placement: Placement) =
        directory.find(placement.server.id)?.state is ListedServer.State.InService

    private fun isLeaving(placement: Placement) =
        directory.find(placement.server.id)?.state is ListedServer.State.Leaving

    private fun record(exchange: Exchange, placement: Placement, outcome: EvidenceOutcome) =
        judge.recordOutcome(placement.listed.entry, placement.server, routeOf(exchange.request), outcome)

    private companion object {
        /** A new connection within a failure domain takes about 1 ms; 1 s also covers a lost packet. */
        val PROBE_TIMEOUT: Duration = 1.seconds
    }
}

/** How an attempt ended. */
internal sealed interface AttemptEnd {
    data object Good : AttemptEnd

    /** Complete, but the first byte arrived later than twice the `firstByteMillis` of the class. */
    data object Slow : AttemptEnd

    /** The server answered with an error, or did not complete the answer in time. */
    data class Failed(val detail: String) : AttemptEnd

    /** No byte of the request was sent. */
    data class NotSent(val detail: String) : AttemptEnd

    /** The connection broke after a byte of the request may have been sent. */
    data class Broken(val detail: String) : AttemptEnd

    /**
     * No data arrives on the connection although new connections to the server work. The server may not notice that
     * the connection was closed and may go on with the request, so the grant is released only after [hold], the time
     * that the request is expected to need.
     */
    data class Silent(val hold: Duration) : AttemptEnd

    /** Cancelled by this entry instance or the caller; not a failure of the server. */
    data object Abandoned : AttemptEnd
}
