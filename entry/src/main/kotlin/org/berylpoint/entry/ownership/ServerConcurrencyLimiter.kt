package org.berylpoint.entry.ownership

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.berylpoint.entry.backend.ListedServer
import org.berylpoint.entry.backend.ServerDirectory
import org.berylpoint.entry.member.DomainEpochs
import org.berylpoint.entry.member.HeartbeatExtension
import org.berylpoint.entry.member.Member
import org.berylpoint.entry.member.MembershipView
import org.berylpoint.entry.node.NodeContext
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.Instance
import org.berylpoint.model.InstanceId
import org.berylpoint.model.ServiceKind
import org.berylpoint.peer.DenyReason
import org.berylpoint.peer.HandedServer
import org.berylpoint.peer.PeerMessage
import org.berylpoint.peer.PeerMessage.Ack
import org.berylpoint.peer.PeerMessage.Denied
import org.berylpoint.peer.PeerMessage.Granted
import org.berylpoint.peer.PeerMessage.Handover
import org.berylpoint.peer.PeerMessage.Heartbeat
import org.berylpoint.peer.PeerMessage.InFlightReport
import org.berylpoint.peer.PeerMessage.Refusal
import org.berylpoint.peer.PeerMessage.Release
import org.berylpoint.peer.PeerMessage.Reserve
import org.berylpoint.peer.ServerDigest
import org.berylpoint.policy.Rendezvous
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/**
 * Limits the number of concurrent requests on the backend servers that this instance owns.
 *
 * This instance has owned a server since the first of the consecutive epochs in which it ranks first for it. A new
 * owner grants nothing until every known entry instance has reported its grants under that epoch or a later one, or is
 * confirmed departed. With its report, an instance also promises to make and to accept no more grants under an earlier
 * epoch. If reports are missing, the owner waits for [EARLIER_OWNER_TIMEOUT] plus the maximum run time of a request.
 * It then reserves half of the limit, rounded down, for each unreachable instance that may still act as an earlier
 * owner.
 */
public class ServerConcurrencyLimiter(
    private val context: NodeContext,
    private val membership: StateFlow<MembershipView>,
    private val epochs: DomainEpochs,
    private val directory: ServerDirectory,
) : HeartbeatExtension {
    private class AdvertisedLimit(val limit: Int, val at: ComparableTimeMark)

    private val self: InstanceId = context.self.id
    private val domain: FailureDomain = context.self.failureDomain
    private val startTime: ComparableTimeMark = context.time.markNow()
    private val ownedServers = linkedMapOf<BackendServerId, OwnedServer>()
    private val epochHistory = mutableListOf<ObservedEpoch>()
    private val reportedEpochs = mutableMapOf<InstanceId, Long>()
    private val knownInstances = mutableMapOf<InstanceId, FailureDomain>()
    private val advertisedLimits = mutableMapOf<BackendServerId, AdvertisedLimit>()
    private var historyGapSince: ComparableTimeMark? = null
    private var isStopping = false
    private var grantSequence = 0L
    private var digestOffset = 0

    private val now: ComparableTimeMark get() = context.time.markNow()

    /** Starts to react to new epochs, membership changes and expired grants. */
    public fun start() {
        context.scope.launch { epochs.current.collect { refreshAll() } }
        context.scope.launch { membership.collect { refreshAll() } }
        context.scope.launch {
            while (isActive) {
                delay(REFRESH_INTERVAL)
                refreshAll()
            }
        }
    }

    /**
     * Stops granting. The caller must then call [DomainEpochs.leave], which makes this instance hand over its servers,
     * and [org.berylpoint.entry.member.Membership.leave] only after the running requests have ended, because owners
     * drop the grants of an instance that is confirmed departed.
     */
    public fun stop() {
        isStopping = true
        ownedServers.values.forEach { owned -> owned.denyAll(DenyReason.SHUTTING_DOWN) }
    }

    /** Handles a message to the owner of a backend server; returns null for other messages. */
    public suspend fun handle(from: InstanceId, message: PeerMessage): PeerMessage? {
        advanceEpoch()
        return when (message) {
            is Reserve -> reserve(from, message)
            is Release -> release(from, message)
            is InFlightReport -> if (message.holder == from) report(message) else Refusal("sender is not the holder")
            is Handover -> takeOver(message)
            else -> null
        }
    }

    override fun fill(heartbeat: Heartbeat): Heartbeat {
        val owned = ownedServers.values.filter { it.rampLimit != null }
        val start = if (owned.isEmpty()) 0 else digestOffset % owned.size
        digestOffset = start + DIGESTS_PER_HEARTBEAT
        // Each heartbeat carries the next part of the list, so that it stays small and peers receive all of it in turn.
        val part = if (owned.size <= DIGESTS_PER_HEARTBEAT) {
            owned
        } else {
            (owned.drop(start) + owned.take(start)).take(DIGESTS_PER_HEARTBEAT)
        }
        return heartbeat.copy(servers = part.map { ServerDigest(it.id, it.inFlight, it.rampLimit ?: 0) })
    }

    override fun receive(heartbeat: Heartbeat, ageMillis: Long) {
        if (ageMillis <= MAX_ADVERTISED_LIMIT_AGE.inWholeMilliseconds) {
            val at = now - ageMillis.milliseconds
            heartbeat.servers.forEach { advertisedLimits[it.server] = AdvertisedLimit(it.limit, at) }
        }
    }

    private suspend fun reserve(from: InstanceId, message: Reserve): PeerMessage {
        val listed = directory.find(message.server)
        val owned = findOwned(message.server).takeIf { listed == null || listed.server.failureDomain == domain }
        return when {
            isStopping -> Denied(DenyReason.SHUTTING_DOWN)
            owned == null || from in membership.value.departed -> Denied(DenyReason.NOT_OWNER)
            listed?.state != ListedServer.State.InService -> Denied(DenyReason.OUT_OF_SERVICE, owned.inFlight)
            else -> reserve(owned, listed, from, message)
        }
    }

    private suspend fun reserve(
        owned: OwnedServer,
        listed: ListedServer,
        from: InstanceId,
        message: Reserve,
    ): PeerMessage {
        val rank = now + message.remainingMillis.milliseconds / message.worth.coerceAtLeast(MIN_WORTH)
        val reservation = QueuedReservation(from, message, now, rank)
        owned.queue += reservation
        grantQueued(owned)
        if (!reservation.answer.isCompleted && message.waitMillis <= 0) {
            owned.queue -= reservation
            return denial(owned, listed)
        }
        if (owned.queue.size > listed.entry.limits.queueLimit) {
            val last = owned.queue.maxBy { it.rank }
            owned.queue -= last
            last.answer.complete(denial(owned, listed))
        }
        return awaitGrant(owned, listed, reservation)
    }

    private suspend fun awaitGrant(
        owned: OwnedServer,
        listed: ListedServer,
        reservation: QueuedReservation,
    ): PeerMessage {
        var answer: PeerMessage? = null
        try {
            answer = withTimeoutOrNull(reservation.message.waitMillis.milliseconds) { reservation.answer.await() }
                ?: if (owned.queue.remove(reservation)) denial(owned, listed) else reservation.answer.await()
            return answer
        } finally {
            owned.queue -= reservation
            // If the wait was cancelled, the requester can't release a grant that was made in the meantime.
            if (answer == null && reservation.answer.isCompleted) {
                (reservation.answer.await() as? Granted)?.let { owned.grants -= it.grant }
            }
        }
    }

    private fun denial(owned: OwnedServer, listed: ListedServer): Denied {
        val limit = limit(owned, listed)
        val reason = if (limit == null) DenyReason.RECOVERING else DenyReason.FULL
        return Denied(reason, owned.inFlight, limit ?: 0)
    }

    private fun release(from: InstanceId, message: Release): PeerMessage {
        val owned = findOwned(message.server) ?: return Refusal("this instance does not own ${message.server}")
        val holder = owned.grants[message.grant]?.holder
        if (holder != null && holder != from) return Refusal("grant ${message.grant} is held by $holder, not by $from")
        owned.release(message.grant, message.outcome, now)
        grantQueued(owned)
        return Ack
    }

    private fun report(message: InFlightReport): PeerMessage {
        val refusal = checkEpoch(message.epoch)
        if (refusal != null) return refusal
        if (message.holder in membership.value.departed) return Refusal("instance ${message.holder} has departed")
        message.inFlight.forEach { (server, records) -> findOwned(server)?.addGrants(message.holder, records, now) }
        reportedEpochs[message.holder] = message.epoch
        refreshAll()
        return Ack
    }

    private fun takeOver(message: Handover): PeerMessage {
        val refusal = checkEpoch(message.epoch)
        if (refusal != null) return refusal
        val departed = membership.value.departed
        message.servers.forEach { (server, handed) ->
            val owned = findOwned(server)
            val limits = directory.find(server)?.entry?.limits
            if (owned != null && limits != null) owned.inheritLimit(limits, handed.limit, now)
            handed.grants.filterKeys { it !in departed }.forEach { (holder, records) ->
                owned?.addGrants(holder, records, now)
            }
        }
        refreshAll()
        return Ack
    }

    private fun checkEpoch(epoch: Long): Refusal? {
        val current = epochHistory.lastOrNull()?.epoch ?: 0
        if (epoch > current) epochs.refresh()
        return if (epoch == current) null else Refusal("epoch $epoch does not match the current epoch $current")
    }

    /** The state of [server] if this instance owns it under the newest known epoch, else null. */
    private fun findOwned(server: BackendServerId): OwnedServer? {
        if (historyGapSince != null || !epochHistory.lastOrNull().isOwner(server)) return null
        return ownedServers.getOrPut(server) {
            OwnedServer(server, epochHistory.takeLastWhile { it.isOwner(server) }.first())
        }
    }

    private fun ObservedEpoch?.isOwner(server: BackendServerId): Boolean = this != null && owner(server) == self

    private fun ObservedEpoch.owner(server: BackendServerId): InstanceId? =
        Rendezvous.first(server.value, members) { it.value }

    /** Advances to the newest known epoch of the own domain. */
    private fun advanceEpoch() {
        val epoch = epochs.ownEpoch ?: return
        val last = epochHistory.lastOrNull()
        if (last != null && last.epoch >= epoch.epoch) return
        val missed = if (last == null) {
            emptyList()
        } else {
            ((last.epoch + 1) until epoch.epoch).map { it to epochs.membersAt(it) }
        }
        val isGap = last == null || missed.any { it.second == null }
        if (last != null && isGap) {
            // The next read of the row supplies the missing epochs, unless the table service can't be read.
            val since = historyGapSince ?: now.also { historyGapSince = it }
            if (since.elapsedNow() < HISTORY_GAP_TIMEOUT) return
        }
        historyGapSince = null
        if (isGap) epochHistory.clear()
        if (!isGap) missed.forEach { (number, ids) -> epochHistory += ObservedEpoch(number, ids.orEmpty(), now) }
        epochHistory += ObservedEpoch(epoch.epoch, epoch.members.map { it.id }.toSet(), now)
        while (epochHistory.size > MAX_EPOCH_HISTORY) epochHistory.removeFirst()
        reassignServers(epoch.epoch, epoch.members, isGap)
    }

    private fun reassignServers(epoch: Long, members: List<Instance>, isGap: Boolean) {
        val lostServers = mutableMapOf<Instance, MutableList<OwnedServer>>()
        ownedServers.values.toList().forEach { owned ->
            val owner = Rendezvous.first(owned.id.value, members) { it.id.value }
            if (owner?.id == self) {
                val since = epochHistory.takeLastWhile { it.isOwner(owned.id) }.first()
                val isCutByTrim = !isGap && since === epochHistory.first()
                if (since.epoch > owned.ownedSince.epoch && !isCutByTrim) {
                    owned.ownedSince = since
                    owned.isRecovered = false
                }
            } else {
                ownedServers -= owned.id
                owned.denyAll(DenyReason.NOT_OWNER)
                if (owner != null) lostServers.getOrPut(owner) { mutableListOf() } += owned
            }
        }
        lostServers.forEach { (owner, handed) -> context.scope.launch { handOver(epoch, owner, handed) } }
    }

    private suspend fun handOver(epoch: Long, owner: Instance, handed: List<OwnedServer>) {
        log.info { "owner: handing over ${handed.size} servers to ${owner.id} at epoch $epoch" }
        val start = now
        while (start.elapsedNow() < HANDOVER_TIMEOUT && epochs.ownEpoch?.epoch == epoch) {
            val message = Handover(epoch, handed.filter { it.rampLimit != null }.associate { it.id to it.toHanded() })
            val answer = context.peers.call(owner.peerAddress, message, CALL_TIMEOUT).getOrElse { null }
            if (answer == Ack || owner.id in membership.value.departed) return
            delay(RETRY_DELAY)
        }
    }

    private fun OwnedServer.toHanded() = HandedServer(
        limit = rampLimit ?: 0,
        grants = grants.entries
            .filter { !it.value.endsAt.hasPassedNow() }
            .groupBy({ it.value.holder }, { grantRecord(it.key, it.value.endsAt) }),
    )

    private fun OwnedServer.denyAll(reason: DenyReason) {
        queue.forEach { it.answer.complete(Denied(reason, inFlight)) }
        queue.clear()
    }

    private fun refreshAll() {
        advanceEpoch()
        recordKnownInstances()
        ownedServers.values.toList().forEach { owned ->
            removeExpiredGrants(owned)
            grantQueued(owned)
            // A server that is added again under the same id starts without state.
            if (directory.find(owned.id) == null && owned.isIdle && owned.isRecovered) ownedServers -= owned.id
        }
    }

    private fun recordKnownInstances() {
        val view = membership.value
        view.members.values.forEach { knownInstances[it.instance.id] = it.instance.failureDomain }
        epochs.current.value.values.forEach { epoch -> epoch.members.forEach { knownInstances[it.id] = epoch.domain } }
        epochs.leftInstances.forEach { knownInstances[it] = domain }
        knownInstances.keys.removeAll(view.departed)
        reportedEpochs.keys.removeAll(view.departed)
    }

    private fun removeExpiredGrants(owned: OwnedServer) {
        val view = membership.value
        val entry = directory.find(owned.id)?.entry
        val maxRun = (entry?.limits?.maxRunMillis ?: 0).milliseconds
        owned.grants.values.removeAll { grant ->
            // An unreachable holder may be suspended and can't end its request at the deadline; only the server can.
            val isHolderUnreachable = grant.holder != self && view.members[grant.holder]?.state != Member.State.ALIVE
            when {
                // A plain service continues a request after its connection has closed.
                grant.holder in view.departed && entry?.kind != ServiceKind.PLAIN -> true
                grant.holder in view.departed || !isHolderUnreachable -> grant.endsAt.hasPassedNow()
                else -> grant.endsAt.hasPassedNow() && grant.grantedAt.elapsedNow() >= DISPATCH_START_TIMEOUT + maxRun
            }
        }
    }

    private fun grantQueued(owned: OwnedServer) {
        if (owned.queue.isEmpty()) return
        val listed = directory.find(owned.id)
        if (listed?.state != ListedServer.State.InService) return owned.denyAll(DenyReason.OUT_OF_SERVICE)
        removeExpiredGrants(owned)
        val limit = limit(owned, listed) ?: 0
        while (owned.queue.isNotEmpty() && owned.inFlight < limit) {
            val next = owned.queue.minBy { it.rank }
            owned.queue -= next
            next.answer.complete(grant(owned, next, limit))
        }
    }

    private fun grant(owned: OwnedServer, reservation: QueuedReservation, limit: Int): PeerMessage {
        val waited = reservation.receivedAt.elapsedNow()
        val remaining = reservation.message.remainingMillis.milliseconds
        if (waited >= remaining) return Denied(DenyReason.FULL, owned.inFlight, limit)
        val epoch = epochHistory.last().epoch
        // The epoch in the upper bits makes grant ids of different owners distinct.
        val id = (epoch shl GRANT_SEQUENCE_BITS) + grantSequence++
        owned.grants[id] =
            OutstandingGrant(reservation.from, now, reservation.receivedAt + remaining + GRANT_EXPIRY_MARGIN)
        return Granted(id, epoch, (waited + DISPATCH_START_TIMEOUT).inWholeMilliseconds, owned.inFlight, limit)
    }

    /** The current limit of requests in flight on the server; null while grants of earlier owners may be unknown. */
    private fun limit(owned: OwnedServer, listed: ListedServer): Int? {
        val limits = listed.entry.limits
        val oldestUsed = owned.ownedSince.learnedAt - MAX_ADVERTISED_LIMIT_AGE
        val inherited = advertisedLimits[owned.id]?.takeIf { it.at >= oldestUsed }?.limit
        val full = owned.ramp(limits, inherited, now).limit
        val half = full / 2
        val share = if (owned.isRecovered) full else limitDuringRecovery(owned, full, limits.maxRunMillis.milliseconds)
        return if (epochs.isValid()) share else share?.coerceAtMost(half)
    }

    private fun limitDuringRecovery(owned: OwnedServer, full: Int, maxRun: Duration): Int? {
        recordKnownInstances()
        val epoch = owned.ownedSince.epoch
        val missing = knownInstances.keys.filter { (reportedEpochs[it] ?: 0) < epoch }
        val hasTimedOut = owned.ownedSince.learnedAt.elapsedNow() >= EARLIER_OWNER_TIMEOUT + maxRun
        val isFullyReported = missing.isEmpty() && epochs.isConfirmedByPeer(epoch) && hasStartupSettled()
        if (!hasTimedOut && !isFullyReported) return null
        val earlier = missing.filter { it != self && knownInstances[it] == domain && mayOwnEarlier(owned, it) }
        if (earlier.isEmpty()) owned.isRecovered = true
        return (full - earlier.size * (full / 2)).coerceAtLeast(0)
    }

    // A sole instance of a domain may start while its predecessor still runs requests known only to other domains.
    private fun hasStartupSettled(): Boolean = membership.value.alive.size > 1 ||
        context.seeds.all { it == context.self.peerAddress } ||
        startTime.elapsedNow() >= STARTUP_SETTLE_TIME

    /** Whether [id] may have owned the server in an earlier epoch, according to the history in the row. */
    private fun mayOwnEarlier(owned: OwnedServer, id: InstanceId): Boolean {
        var number = owned.ownedSince.epoch - 1
        while (number > 0) {
            val members = epochs.membersAt(number)
                ?: return number == owned.ownedSince.epoch - 1 || id !in epochHistory.last().members
            if (Rendezvous.first(owned.id.value, members) { it.value } == id) return true
            number--
        }
        return false
    }

    public companion object {
        /** Wait for an unreachable earlier owner; at least [DomainEpochs.VALIDITY] plus [DISPATCH_START_TIMEOUT]. */
        public val EARLIER_OWNER_TIMEOUT: Duration = 8.seconds

        private val REFRESH_INTERVAL = 100.milliseconds
        private val MAX_ADVERTISED_LIMIT_AGE = 10.seconds
        private val HISTORY_GAP_TIMEOUT = 3.seconds
        private val HANDOVER_TIMEOUT = 10.seconds
        private val CALL_TIMEOUT = 1.seconds
        private val RETRY_DELAY = 200.milliseconds
        private val STARTUP_SETTLE_TIME = 10.seconds
        private const val MIN_WORTH = 0.001
        private const val MAX_EPOCH_HISTORY = 64
        private const val DIGESTS_PER_HEARTBEAT = 32
        private const val GRANT_SEQUENCE_BITS = 32
    }
}
