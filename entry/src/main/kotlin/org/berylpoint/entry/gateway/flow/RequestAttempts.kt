package org.berylpoint.entry.gateway.flow

import org.berylpoint.entry.gateway.caller.CallerExchange
import org.berylpoint.entry.gateway.queue.QueueOutcome
import org.berylpoint.entry.gateway.server.SendObstacle
import org.berylpoint.entry.gateway.server.ServerReservation
import org.berylpoint.model.ErrorKind
import org.berylpoint.policy.placement.AttemptSignal
import java.io.IOException

/**
 * The attempts of one admitted request: selects a server for each, and sends the response of the one that completes it.
 */
internal class RequestAttempts(
    private val exchange: CallerExchange,
    private val request: AdmittedRequest,
    private val flow: FlowContext,
) {
    private val clocks = flow.clocks
    private val pool = flow.pool
    private val counts = flow.counts
    private val placement = AttemptPlacement(exchange, request, flow)
    private val progress = ResponseProgress()

    private val attempts = AttemptCounter(request.route)
    private var isCharged = false
    private var lastFailure = "no attempt was made"

    suspend fun run() {
        val crashes = counts.crashCount(request.fingerprint)
        if (crashes >= MAX_CRASHES) {
            refuseQuarantined("$crashes connections to servers were lost during this request")
            return
        }
        if (refuseIfQuarantined()) return
        flow.admission.charge(request)?.let {
            flow.refuse(exchange, request.id, it, request.arrivedAtMillis)
            return
        }
        isCharged = true
        counts.countFirstAttempt(
            request.service.name,
            request.tokens?.ownTokens ?: 0,
            request.tokens?.outputTokens ?: 0,
        )
        try {
            while (attempt()) if (refuseIfQuarantined()) return
        } finally {
            placement.releaseUnused()
        }
    }

    /** Refuses a request whose prompt has a part that crashes servers, also before a further attempt. */
    private fun refuseIfQuarantined(): Boolean {
        val part = flow.quarantine.partOf(request) ?: return false
        lastFailure = "part $part of the prompt crashes servers"
        if (attempts.runs > 0) failRequest(ErrorKind.BackendFailed) else refuseQuarantined(lastFailure)
        return true
    }

    private fun refuseQuarantined(cause: String) =
        refuseUnrun(Refusal(ErrorKind.NoCapacity, cause, QUARANTINE_RETRY_AFTER_MILLIS))

    /** Makes one attempt; true if another one has to follow. */
    private suspend fun attempt(): Boolean {
        val reservation = when (val placed = placement.await()) {
            is QueueOutcome.Reserved -> placed.reservation
            is QueueOutcome.Refused -> return endWithoutServer(placed)
        }
        countSharedPrefill(reservation)
        if (attempts.runs > 0) request.workspace?.let { counts.chargeRerun(it, request.capCost) }
        val serverExchange = flow.client.send(
            reservation.server.entry.id,
            reservation.server.entry.address,
            request.toServerRequest(reservation, remainingMillis(), progress) { findObstacle(reservation) },
        )
        placement.markTried(reservation)
        val attempt =
            ServerAttempt(
                exchange,
                request,
                reservation,
                serverExchange,
                progress,
                flow.notices,
                flow.limits,
                clocks,
                pool,
                ::tryMove,
            )
        val end = try {
            attempt.run { onStarted(reservation) }
        } catch (e: IOException) {
            serverExchange.cancel()
            placement.release(reservation, null)
            throw e
        }
        if (end is AttemptEnd.Complete) placement.recordWork(reservation)
        if (end is AttemptEnd.Complete) attempt.eventGapMillis?.let { recordEventGap(reservation, it) }
        return conclude(reservation, end)
    }

    /** What has happened since [reservation] was made that forbids to send the request. */
    private fun findObstacle(reservation: ServerReservation): SendObstacle? = when {
        remainingMillis() <= 0 || exchange.isDisconnected() -> SendObstacle.RESPONSE_NOT_WANTED
        !pool.isUsable(reservation) -> SendObstacle.SERVER_NOT_USABLE
        flow.conditions.isViewOutOfDate() -> SendObstacle.VIEW_OUT_OF_DATE
        else -> null
    }

    private fun recordEventGap(reservation: ServerReservation, millis: Double) = flow.versions.recordEventGap(
        request.service.name,
        reservation.server.entry.version,
        request.route.name,
        millis,
    )

    private fun countSharedPrefill(reservation: ServerReservation) {
        val sharedTokens = reservation.prefillTokens - (request.tokens?.ownTokens ?: 0)
        if (sharedTokens > 0) counts.countSharedPrefill(request.service.name, sharedTokens)
    }

    private fun onStarted(reservation: ServerReservation) {
        pool.markStarted(reservation)
        placement.recordFirstEvent(reservation)
        flow.quarantine.recordResponse(reservation.server)
        flow.versions.recordFirstEvent(
            request.service.name,
            reservation.server.entry.version,
            request.route.name,
            (clocks.steadyMillis - reservation.reservedAtMillis).toDouble(),
        )
        progress.firstEventMillis = progress.firstEventMillis ?: (clocks.steadyMillis - request.arrivedAtMillis)
        countUsage()
    }

    private fun countUsage() {
        if (progress.isUsageCounted) return
        progress.isUsageCounted = true
        request.workspace?.let { counts.countUsage(it.workspace) }
    }

    private fun conclude(reservation: ServerReservation, end: AttemptEnd): Boolean {
        placement.release(reservation, signalOf(end))
        count(reservation, end)
        if (end !is AttemptEnd.Complete) recordFailure(reservation, end)
        return when (end) {
            is AttemptEnd.Interrupted -> {
                if (end.isConnectionLost) recordLoss(reservation, end)
                retryOrFail()
            }
            is AttemptEnd.Stalled -> {
                placement.markStalled(reservation)
                true
            }
            is AttemptEnd.Error -> if (mayRetryRun()) true else forwardError(end)
            is AttemptEnd.NotRun, is AttemptEnd.Withheld -> resendOrRefuse(end)
            is AttemptEnd.TimedOut -> {
                failRequest(ErrorKind.DeadlineExceeded)
                false
            }
            is AttemptEnd.CallerDisconnected -> throw IOException("the caller disconnected")
            is AttemptEnd.Complete -> {
                counts.countCompleted(request.fingerprint)
                flow.quarantine.recordCompletion(request)
                served(reservation, end)
                false
            }
        }
    }

    private fun recordLoss(reservation: ServerReservation, end: AttemptEnd.Interrupted) {
        counts.countCrash(request.fingerprint)
        if (!end.hadBegun) flow.quarantine.recordLoss(request, reservation.server)
    }

    private fun count(reservation: ServerReservation, end: AttemptEnd) {
        attempts.count(end)
        if (!end.mayHaveRun || end is AttemptEnd.CallerDisconnected) return
        if (!request.isStream) countUsage()
        flow.versions.countOutcome(
            request.service.name,
            reservation.server.entry.version,
            request.route.name,
            outcomeOf(end),
        )
    }

    private fun outcomeOf(end: AttemptEnd) = when (end) {
        is AttemptEnd.Complete -> AttemptOutcome.GOOD
        is AttemptEnd.Error -> AttemptOutcome.ERROR_RESPONSE
        else -> AttemptOutcome.NO_RESPONSE
    }

    private fun recordFailure(reservation: ServerReservation, end: AttemptEnd) {
        lastFailure = end.toString()
        flow.log.request(
            "flow", request.id, "attempt-failed", "server" to reservation.server.entry.id.value,
            "revision" to reservation.server.revision, "cause" to lastFailure, "age" to ageMillis(),
            "sends" to attempts.sends,
            "lastEvent" to progress.lastEventId, "expected" to reservation.expectedMillis.toLong(),
            "sentAfter" to reservation.reservedAtMillis - request.arrivedAtMillis,
            "parts" to request.sharedParts.joinToString(",") { it.id },
        )
        flow.metrics.attemptFailed(end.metricLabel)
    }

    private fun retryOrFail(): Boolean {
        if (mayRetryRun()) return true
        failRequest(ErrorKind.BackendFailed)
        return false
    }

    /** Takes one attempt out of the retry budget if the request may run again. */
    private fun mayRetryRun(): Boolean = isRepeatable() && counts.tryRetry(request.service.name)

    /** Like [mayRetryRun], while an attempt is in progress that is only given up for a server which has room. */
    private fun tryMove(): Boolean =
        isRepeatable(inProgress = 1) && placement.tryMove { counts.tryRetry(request.service.name) }

    /** Whether the request may run again, with [inProgress] runs that have not ended yet. */
    private fun isRepeatable(inProgress: Int = 0): Boolean = attempts.allowsRun(inProgress) &&
        !progress.lastEventHasNoId &&
        remainingMillis() > AdmittedRequest.MIN_REMAINING_MILLIS

    private fun resendOrRefuse(end: AttemptEnd): Boolean {
        val isViewOutOfDate = (end as? AttemptEnd.Withheld)?.obstacle == SendObstacle.VIEW_OUT_OF_DATE
        val mayResend = attempts.allowsSend &&
            !isViewOutOfDate &&
            remainingMillis() > AdmittedRequest.MIN_REMAINING_MILLIS
        if (mayResend && (end.isUnsent || counts.tryRetry(request.service.name))) return true
        when {
            attempts.runs > 0 -> failRequest(ErrorKind.BackendFailed)
            isViewOutOfDate -> refuseUnrun(Refusal.viewOutOfDate())
            else -> refuseForCapacity(end.toString(), NOT_RUN_RETRY_AFTER_MILLIS)
        }
        return false
    }

    /** Forwards the server's error response unchanged, unless its status would tell the caller that nothing ran. */
    private fun forwardError(end: AttemptEnd.Error): Boolean {
        if (progress.isResponseStarted || end.status in NOT_RUN_STATUSES) {
            failRequest(ErrorKind.BackendFailed)
        } else {
            exchange.respond(end.status, end.headers, end.body)
            recordEnd("server-error")
        }
        return false
    }

    /** Ends a request that may have run: aborts a response that was started, or sends an error response. */
    private fun failRequest(kind: ErrorKind) {
        if (progress.isResponseStarted) {
            recordEnd("broken-off")
            exchange.abort()
        } else {
            flow.refuse(exchange, request.id, Refusal(kind, lastFailure), request.arrivedAtMillis)
        }
    }

    /** Refuses a request that did not run for lack of servers. */
    private fun refuseForCapacity(cause: String, retryAfterMillis: Long) {
        counts.countNoCapacity(request.service.name)
        refuseUnrun(Refusal(ErrorKind.NoCapacity, cause, retryAfterMillis))
    }

    /** Refuses a request that did not run, and refunds its charge. */
    private fun refuseUnrun(refusal: Refusal) {
        if (isCharged) request.workspace?.let { counts.refund(it, request.capCost) }
        flow.refuse(exchange, request.id, refusal, request.arrivedAtMillis)
    }

    /** Ends a request that got no server; no attempt follows. */
    private fun endWithoutServer(refused: QueueOutcome.Refused): Boolean {
        if (attempts.runs > 0 || progress.isResponseStarted) {
            failRequest(ErrorKind.BackendFailed)
        } else {
            refuseForCapacity(refused.cause, refused.retryAfterMillis)
        }
        return false
    }

    private fun served(reservation: ServerReservation, end: AttemptEnd.Complete) {
        if (progress.isResponseStarted) {
            exchange.completeResponse()
        } else {
            exchange.respond(end.status, end.headers, end.body)
        }
        flow.durations.record(request.route.name, ageMillis())
        val isLate = (progress.firstEventMillis ?: ageMillis()) > request.route.targetLatencyMillis
        flow.log.served(
            request.id,
            isLate,
            "server" to reservation.server.entry.id.value,
            "revision" to reservation.server.revision,
            "route" to request.route.name,
            "age" to ageMillis(),
            "first" to progress.firstEventMillis,
            "expected" to reservation.expectedMillis.toLong(),
            "sends" to attempts.sends,
            "wait" to reservation.reservedAtMillis - request.arrivedAtMillis,
            "tokens" to request.tokens?.promptTokens,
        )
        recordEnd("served")
    }

    private fun recordEnd(outcome: String) =
        flow.metrics.requestEnded(outcome, request.route.name, progress.firstEventMillis ?: ageMillis())

    private fun ageMillis() = clocks.steadyMillis - request.arrivedAtMillis

    private fun remainingMillis() = request.deadlineMillis - clocks.steadyMillis

    private fun signalOf(end: AttemptEnd): AttemptSignal? = when (end) {
        is AttemptEnd.Complete -> AttemptSignal.GOOD
        is AttemptEnd.Error, is AttemptEnd.Interrupted, is AttemptEnd.Stalled -> AttemptSignal.FAILED
        is AttemptEnd.NotRun -> if (end.reachedServer) AttemptSignal.REFUSED else AttemptSignal.UNREACHABLE
        is AttemptEnd.TimedOut -> AttemptSignal.FAILED.takeIf { end.hadNotStarted }
        is AttemptEnd.CallerDisconnected, is AttemptEnd.Withheld -> null
    }

    private companion object {
        /** Lost server connections, over all instances, after which the same request is refused. */
        const val MAX_CRASHES = 3
        const val QUARANTINE_RETRY_AFTER_MILLIS = 30_000L

        const val NOT_RUN_RETRY_AFTER_MILLIS = 200L

        /** Statuses that tell a caller that the request did not run. */
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}
