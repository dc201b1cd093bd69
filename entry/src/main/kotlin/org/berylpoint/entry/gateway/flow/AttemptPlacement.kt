package org.berylpoint.entry.gateway.flow

import org.berylpoint.entry.gateway.caller.CallerExchange
import org.berylpoint.entry.gateway.queue.QueueOutcome
import org.berylpoint.entry.gateway.queue.QueuedRequest
import org.berylpoint.entry.gateway.queue.RequestSize
import org.berylpoint.entry.gateway.server.ReservationResult
import org.berylpoint.entry.gateway.server.ServerPool
import org.berylpoint.entry.gateway.server.ServerReservation
import org.berylpoint.model.BackendServerId
import org.berylpoint.platform.wire.RequestHeaders
import org.berylpoint.policy.placement.AttemptSignal
import org.berylpoint.policy.share.ShareGroup
import java.io.IOException

/** Reserves capacity at a server for each attempt of one request, at another server each time. */
internal class AttemptPlacement(
    private val exchange: CallerExchange,
    private val request: AdmittedRequest,
    private val flow: FlowContext,
) {
    private val pool: ServerPool get() = flow.pool
    private val group = ShareGroup(request.serverPriority, request.workspace?.workspace)
    private val size = RequestSize(
        request.route,
        request.tokens?.promptTokens,
        request.caller.header(RequestHeaders.LENGTH_HINT)?.trim()?.toLongOrNull() ?: request.tokens?.outputTokens,
    )
    private val tried = HashSet<BackendServerId>()

    /** Servers that the request left while they were silent, but may still be sound. */
    private val stalled = HashSet<BackendServerId>()

    /** Capacity that is reserved for the next attempt already. */
    private var move: ServerReservation? = null

    /** Records that the request goes to the server of [reservation]. */
    fun markTried(reservation: ServerReservation) {
        tried += reservation.server.entry.id
    }

    /** Records that the request leaves the server of [reservation] since it is silent. */
    fun markStalled(reservation: ServerReservation) {
        stalled += reservation.server.entry.id
    }

    /** Records that the first event of the response has arrived. */
    fun recordFirstEvent(reservation: ServerReservation): Unit =
        flow.work.recordFirstEvent(size, flow.clocks.steadyMillis - reservation.reservedAtMillis)

    /** Records that the response is complete. */
    fun recordWork(reservation: ServerReservation): Unit =
        flow.work.recordWork(size, flow.clocks.steadyMillis - reservation.reservedAtMillis)

    /** Ends [reservation]; see [ServerPool.release]. */
    fun release(reservation: ServerReservation, signal: AttemptSignal?): Unit =
        flow.queues.release(request.service.name, group, reservation, signal)

    /**
     * Reserves capacity for an attempt that takes the place of one in progress; false if no other server can start the
     * request at once, or [takeRetry] refuses. The silent server may still complete the response, so the attempt there
     * is only given up for one that surely goes on.
     */
    fun tryMove(takeRetry: () -> Boolean): Boolean {
        val result = pool.reserve(request.service, request.demand.copy(mayQueue = false), tried)
        val reservation = (result as? ReservationResult.Reserved)?.reservation ?: return false
        if (takeRetry()) move = started(reservation) else pool.release(reservation, null)
        return move != null
    }

    /**
     * Reserves capacity for the next attempt, or waits for it as long as the request can still be served within its
     * target; a further attempt waits for the part of the target that [WAIT_DIVISOR] sets. Throws [IOException] if the
     * caller disconnects.
     */
    suspend fun await(): QueueOutcome {
        if (exchange.isDisconnected()) throw IOException("the caller disconnected")
        takeMove()?.let { return QueueOutcome.Reserved(it) }
        val outcome = flow.queues.place(queuedRequest(), exchange::isDisconnected)
        if (outcome is QueueOutcome.Reserved) return outcome
        return reserveStalled()?.let { QueueOutcome.Reserved(it) } ?: outcome
    }

    private fun queuedRequest(): QueuedRequest {
        val now = flow.clocks.steadyMillis
        val target = request.route.targetLatencyMillis
        val work = flow.work.workMillis(size)
        val expected = if (request.isStream) flow.work.firstEventMillis(size) else work
        val isFirst = tried.isEmpty()
        val latest = if (isFirst) request.arrivedAtMillis + target - expected.toLong() else now + target / WAIT_DIVISOR
        return QueuedRequest(
            service = request.service,
            group = group,
            placement = request.demand,
            excluded = tried.toSet(),
            workMillis = work,
            arrivedAtMillis = request.arrivedAtMillis,
            latestStartMillis = minOf(latest, request.deadlineMillis - AdmittedRequest.MIN_REMAINING_MILLIS),
            maxNamedWaitMillis = target / WAIT_DIVISOR,
            isRetry = !isFirst,
        )
    }

    /** Releases what was reserved for an attempt that is not made. */
    fun releaseUnused() {
        takeMove()?.let { release(it, null) }
    }

    private fun takeMove(): ServerReservation? = move.also { move = null }

    private fun started(reservation: ServerReservation): ServerReservation {
        flow.queues.recordStart(request.service.name, group)
        return reservation
    }

    /** Reserves capacity at a server that the request has left, for when the one that it went to did not take it. */
    private fun reserveStalled(): ServerReservation? {
        if (stalled.isEmpty()) return null
        val result = pool.reserve(request.service, request.demand, tried - stalled)
        stalled.clear()
        return (result as? ReservationResult.Reserved)?.reservation?.let(::started)
    }

    private companion object {
        /** A further attempt waits for a server for the target latency divided by this. */
        const val WAIT_DIVISOR = 8
    }
}
