package org.berylpoint.entry.gateway.queue

import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.coroutines.withTimeoutOrNull
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.server.ReservationResult
import org.berylpoint.entry.gateway.server.ServerPool
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.InstanceId
import org.berylpoint.model.serving.ServiceName
import org.berylpoint.peer.ServerLoads
import org.berylpoint.policy.queue.OfferResult
import org.berylpoint.policy.queue.QueueEntry
import org.berylpoint.policy.queue.RefusalCause
import org.berylpoint.policy.queue.RetryAfterEstimate
import org.berylpoint.policy.queue.WaitQueue
import org.berylpoint.policy.share.FairShares
import org.berylpoint.policy.share.InstanceAllowance
import org.berylpoint.policy.share.InstanceDemand
import org.berylpoint.policy.share.OwnDemand
import org.berylpoint.policy.share.RoomRound
import org.berylpoint.policy.share.RoomShare
import org.berylpoint.policy.share.ServerRoom
import org.berylpoint.policy.share.ShareGroup
import org.berylpoint.policy.share.ShareRound
import java.io.IOException
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * The queue and the shares of one service at this instance.
 *
 * All changes are tasks that run one after another and hold no lock while they call the pool; others read [state].
 */
internal class ServiceQueue(
    private val self: InstanceId,
    private val name: ServiceName,
    private val clocks: Clocks,
    private val pool: ServerPool,
    private val events: QueueEvents,
    random: Random,
) {
    private val tasks = SerialTasks { events.taskFailed(name, it) }
    private val own = OwnDemand()
    private val queue = WaitQueue<WaitingRequest>(own)
    private val shares = FairShares(random)
    private val rooms = RoomShare(random)
    private val estimate = RetryAfterEstimate(random)
    private val waitingCount = AtomicInteger()
    private val isWakeSubmitted = AtomicBoolean()
    private var loadsAtRound = ServerLoads.NONE

    /** Usable servers in the last round. */
    private var servers: Set<BackendServerId> = emptySet()

    @Volatile
    var state = QueueState()
        private set

    /** Whether a request may be placed without asking the queue. */
    private val isOpen: Boolean get() = waitingCount.get() == 0 && !state.allowance.isLimited

    /**
     * Places [request] at a server, at once if one has room, or waits for it. Throws [IOException] if the caller is
     * gone.
     */
    suspend fun place(request: QueuedRequest, isCallerGone: () -> Boolean): QueueOutcome {
        if (request.isRetry || isOpen) {
            when (val result = pool.reserve(request.service, request.placement, request.excluded)) {
                is ReservationResult.Reserved -> {
                    recordStart(request.group)
                    return QueueOutcome.Reserved(result.reservation)
                }
                is ReservationResult.NoServer -> return refusedBy(Obstacle.NoServer, request)
                is ReservationResult.Full ->
                    if (!result.isBusy && result.waitMillis > request.maxNamedWaitMillis) {
                        return refusedBy(Obstacle.NamedWait(result.waitMillis), request)
                    }
            }
        }
        return await(WaitingRequest(request, request.latestStartMillis), isCallerGone)
    }

    private suspend fun await(waiting: WaitingRequest, isCallerGone: () -> Boolean): QueueOutcome {
        // Counted before the first try, so that a release right after it is not missed.
        waitingCount.incrementAndGet()
        try {
            tasks.submit { offer(waiting) }
            while (true) {
                val left = waiting.latestStartMillis - clocks.steadyMillis + 1
                val pause = minOf(left, waiting.retryAfterMillis ?: left, DISCONNECT_CHECK_MILLIS).coerceAtLeast(1)
                withTimeoutOrNull(pause.milliseconds) { waiting.outcome.await() }?.let { return it }
                if (isCallerGone()) throw IOException("the caller disconnected")
                if (pause < DISCONNECT_CHECK_MILLIS) submitWake()
            }
        } catch (e: Exception) {
            tasks.submit { abandon(waiting) }
            throw e
        } finally {
            waitingCount.decrementAndGet()
        }
    }

    private fun offer(waiting: WaitingRequest) {
        if (waiting.isAbandoned) return
        when (val result = queue.offer(waiting.entry, clocks.steadyMillis)) {
            is OfferResult.Refused -> refuse(waiting, result.cause)
            is OfferResult.Queued -> {
                result.evicted.forEach { refuse(it.entry.request, it.cause) }
                dispatch()
                refuseIfHopeless(waiting)
            }
        }
        publish()
    }

    private fun refuseIfHopeless(waiting: WaitingRequest) {
        val obstacle = waiting.obstacle ?: return
        val isHopeless = obstacle !is Obstacle.NamedWait || obstacle.waitMillis > waiting.request.maxNamedWaitMillis
        if (!isHopeless || !queue.remove(waiting.entry, clocks.steadyMillis)) return
        waiting.outcome.complete(refusedBy(obstacle, waiting.request))
    }

    private fun abandon(waiting: WaitingRequest) {
        waiting.isAbandoned = true
        if (queue.remove(waiting.entry, clocks.steadyMillis)) {
            publish()
            return
        }
        val reservation = waiting.reservation ?: return
        own.ended(waiting.request.group)
        pool.release(reservation, null)
    }

    /** Records that a request of [group] was sent to a server without asking the queue. */
    fun recordStart(group: ShareGroup): Unit = tasks.submit {
        own.started(group)
        estimate.recordStart(group, clocks.steadyMillis)
    }

    /** Records that a request of [group] that was placed has ended. */
    fun recordEnd(group: ShareGroup): Unit = tasks.submit { own.ended(group) }

    /** Tries to start what waits, since there may be room now. */
    fun wake() {
        if (waitingCount.get() > 0) submitWake()
    }

    private fun submitWake() {
        if (!isWakeSubmitted.compareAndSet(false, true)) return
        tasks.submit {
            isWakeSubmitted.set(false)
            dispatch()
            publish()
        }
    }

    /** Computes the shares of a new round of reports. */
    fun update(input: ShareInput): Unit = tasks.submit {
        val now = clocks.steadyMillis
        val before = state
        val demand = InstanceDemand(self, before.reported.toImmutableMap())
        val capacity = input.slots.values.sum()
        val others = input.others.toImmutableList()
        val allowance = shares.update(ShareRound(now, capacity.toDouble(), demand, others, input.instances))
        queue.allow(allowance)
        updateRooms(input, allowance)
        loadsAtRound = input.ownLoads
        state = before.copy(
            allowance = allowance,
            capacity = capacity,
            reported = InstanceDemand.summarize(own.snapshot(now)),
        )
        events.updated(name, state, now)
        dispatch()
        publish()
    }

    private fun updateRooms(input: ShareInput, allowance: InstanceAllowance) {
        servers = input.slots.keys
        val before = input.slots.map { (server, slots) ->
            ServerRoom(server, slots, loadsAtRound[server.value].active, input.othersLoads[server.value].active)
        }
        val unheard = input.others.count { !it.isHeard }
        rooms.update(
            RoomRound(before.toImmutableList(), input.instances, unheard, allowance.room),
        )
    }

    private fun dispatch() {
        val now = clocks.steadyMillis
        val result = queue.dispatch(now, ::tryStart)
        result.expired.forEach { refuse(it.entry.request, it.cause) }
        for (entry in result.started) {
            estimate.recordStart(entry.group, now)
            events.waited(entry.group.rank, now - entry.arrivedAtMillis)
            entry.request.outcome.complete(QueueOutcome.Reserved(checkNotNull(entry.request.reservation)))
        }
    }

    private fun tryStart(entry: QueueEntry<WaitingRequest>): Boolean {
        val waiting = entry.request
        val request = waiting.request
        val ownLoads = pool.ownLoads()
        val isFree = request.isRetry || !state.allowance.isLimited
        val isOver = state.allowance.isLimited(entry.group)
        val room = if (isFree) {
            null
        } else {
            rooms.candidates(servers - request.excluded, isOver) {
                ownLoads[it]
                    ?: 0
            }
        }
        val result = pool.reserve(request.service, request.placement, request.excluded, room?.toSet())
        waiting.obstacle = when (result) {
            is ReservationResult.Reserved -> null
            is ReservationResult.NoServer -> Obstacle.NoServer
            is ReservationResult.Full -> if (result.isBusy) null else Obstacle.NamedWait(result.waitMillis)
        }
        waiting.retryAfterMillis = (waiting.obstacle as? Obstacle.NamedWait)?.waitMillis
        val reservation = (result as? ReservationResult.Reserved)?.reservation
        waiting.reservation = reservation
        if (reservation != null && !isFree) reservation.server.entry.id.let { rooms.sent(it, ownLoads[it] ?: 0) }
        return reservation != null
    }

    private fun refuse(waiting: WaitingRequest, cause: RefusalCause) {
        val now = clocks.steadyMillis
        val group = waiting.request.group
        val retryAfter = estimate.refusedMillis(group, queue.expectedWaitMillis(group, now), now)
        val share = state.allowance.shareOf(group)
        val text = "${cause.text}: workspace ${group.workspace?.name ?: "none"}, rank ${group.rank} of $name, " +
            "${queue.counts()[group]?.waiting ?: 0} of ${queue.size} waiting, ${own.running} running" +
            if (share == null) "" else ", share %.1f of demand %.1f slots".format(share.share, share.demand)
        refuse(waiting, QueueOutcome.Refused(cause.name.lowercase(), text, retryAfter))
    }

    private fun refuse(waiting: WaitingRequest, refusal: QueueOutcome.Refused) {
        events.refused(waiting.request.group.rank, refusal.reason)
        waiting.outcome.complete(refusal)
    }

    private fun refusedBy(obstacle: Obstacle, request: QueuedRequest): QueueOutcome.Refused {
        val target = request.placement.targetMillis
        val wait = if (obstacle is Obstacle.NamedWait) obstacle.waitMillis else NO_SERVER_WAIT_MILLIS
        val reason = if (obstacle is Obstacle.NamedWait) "servers_want_none" else "no_server"
        events.refused(request.group.rank, reason)
        return QueueOutcome.Refused(reason, "no server can start the request within $target ms", wait)
    }

    private fun publish() {
        state = state.copy(waiting = queue.counts())
    }

    private companion object {
        const val DISCONNECT_CHECK_MILLIS = 200L
        const val NO_SERVER_WAIT_MILLIS = 500L
    }
}
