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
 * Counts the load of the backend servers that this instance owns and keeps it within their limits.
 *
 * A server is owned from the first epoch on in which this instance comes first for it, without a gap. The owner then
 * grants nothing until every known entry instance has reported its grants under that epoch or a later one, or is
 * confirmed gone. A report also says that its sender makes no more grants under an earlier epoch, and takes none. If
 * reports are missing, the owner waits for [FENCE] and the longest run, and then leaves half of the limit, rounded
 * down, to each silent instance that may still act as an earlier owner.
 */
public class ServerConcurrencyLimiter(
    private val context: NodeContext,
    private val membership: StateFlow<MembershipView>,
    private val epochs: DomainEpochs,
    private val directory: ServerDirectory,
) : HeartbeatExtension {
    private class Heard(val limit: Int, val at: ComparableTimeMark)

    private val self: InstanceId = context.self.id
    private val domain: FailureDomain = context.self.failureDomain
    private val startedAt: ComparableTimeMark = context.time.markNow()
    private val loads = linkedMapOf<BackendServerId, OwnedServer>()
    private val chain = mutableListOf<ObservedEpoch>()
    private val reported = mutableMapOf<InstanceId, Long>()
    private val known = mutableMapOf<InstanceId, FailureDomain>()
    private val heard = mutableMapOf<BackendServerId, Heard>()
    private var gapSince: ComparableTimeMark? = null
    private var isStopping = false
    private var nextGrant = 0L
    private var digestOffset = 0

    private val now: ComparableTimeMark get() = context.time.markNow()

    /** Starts to follow epochs, membership and the ends of grants. */
    public fun start() {
        context.scope.launch { epochs.current.collect { pumpAll() } }
        context.scope.launch { membership.collect { pumpAll() } }
        context.scope.launch {
            while (isActive) {
                delay(TICK)
                pumpAll()
            }
        }
    }

    /**
     * Stops granting. [DomainEpochs.leave] comes next, which makes this instance hand over its servers, and
     * [org.berylpoint.entry.member.Membership.leave] only after the running requests have ended: owners drop the
     * grants of an instance that is confirmed gone.
     */
    public fun stop() {
        isStopping = true
        loads.values.forEach { load -> load.denyAll(DenyReason.SHUTTING_DOWN) }
    }

    /** Answers a message to the owner of a backend server; null for other messages. */
    public suspend fun handle(from: InstanceId, message: PeerMessage): PeerMessage? {
        sync()
        return when (message) {
            is Reserve -> reserve(from, message)
            is Release -> release(from, message)
            is InFlightReport -> if (message.holder == from) report(message) else Refusal("not a report of the sender")
            is Handover -> takeOver(message)
            else -> null
        }
    }

    override fun fill(heartbeat: Heartbeat): Heartbeat {
        val owned = loads.values.filter { it.rampLimit != null }
        val start = if (owned.isEmpty()) 0 else digestOffset % owned.size
        digestOffset = start + DIGESTS
        // A different part each time keeps the heartbeat small and lets every peer hear of all servers in turn.
        val part = if (owned.size <= DIGESTS) owned else (owned.drop(start) + owned.take(start)).take(DIGESTS)
        return heartbeat.copy(servers = part.map { ServerDigest(it.id, it.inFlight, it.rampLimit ?: 0) })
    }

    override fun receive(heartbeat: Heartbeat, ageMillis: Long) {
        if (ageMillis <= HEARD_WITHIN.inWholeMilliseconds) {
            val at = now - ageMillis.milliseconds
            heartbeat.servers.forEach { heard[it.server] = Heard(it.limit, at) }
        }
    }

    private suspend fun reserve(from: InstanceId, message: Reserve): PeerMessage {
        val listed = directory.find(message.server)
        val load = owned(message.server).takeIf { listed == null || listed.server.failureDomain == domain }
        return when {
            isStopping -> Denied(DenyReason.SHUTTING_DOWN)
            load == null || from in membership.value.departed -> Denied(DenyReason.NOT_OWNER)
            listed?.state != ListedServer.State.InService -> Denied(DenyReason.OUT_OF_SERVICE, load.inFlight)
            else -> reserve(load, listed, from, message)
        }
    }

    private suspend fun reserve(
        load: OwnedServer,
        listed: ListedServer,
        from: InstanceId,
        message: Reserve,
    ): PeerMessage {
        val rank = now + message.remainingMillis.milliseconds / message.worth.coerceAtLeast(LEAST_WORTH)
        val waiter = QueuedReservation(from, message, now, rank)
        load.queue += waiter
        pump(load)
        if (!waiter.answer.isCompleted && message.waitMillis <= 0) {
            load.queue -= waiter
            return denial(load, listed)
        }
        if (load.queue.size > listed.entry.limits.queueLimit) {
            val last = load.queue.maxBy { it.rank }
            load.queue -= last
            last.answer.complete(denial(load, listed))
        }
        return await(load, listed, waiter)
    }

    private suspend fun await(load: OwnedServer, listed: ListedServer, waiter: QueuedReservation): PeerMessage {
        var answer: PeerMessage? = null
        try {
            answer = withTimeoutOrNull(waiter.message.waitMillis.milliseconds) { waiter.answer.await() }
                ?: if (load.queue.remove(waiter)) denial(load, listed) else waiter.answer.await()
            return answer
        } finally {
            load.queue -= waiter
            // Without an answer the caller has given up and can't release what was granted in the meantime.
            if (answer == null && waiter.answer.isCompleted) {
                (waiter.answer.await() as? Granted)?.let { load.grants -= it.grant }
            }
        }
    }

    private fun denial(load: OwnedServer, listed: ListedServer): Denied {
        val limit = limit(load, listed)
        val reason = if (limit == null) DenyReason.RECOVERING else DenyReason.FULL
        return Denied(reason, load.inFlight, limit ?: 0)
    }

    private fun release(from: InstanceId, message: Release): PeerMessage {
        val load = owned(message.server) ?: return Refusal("not the owner")
        val holder = load.grants[message.grant]?.holder
        if (holder != null && holder != from) return Refusal("not the holder")
        load.release(message.grant, message.outcome, now)
        pump(load)
        return Ack
    }

    private fun report(message: InFlightReport): PeerMessage {
        val refusal = refuseEpoch(message.epoch)
        if (refusal != null) return refusal
        if (message.holder in membership.value.departed) return Refusal("the holder is gone")
        message.inFlight.forEach { (server, records) -> owned(server)?.addGrants(message.holder, records, now) }
        reported[message.holder] = message.epoch
        pumpAll()
        return Ack
    }

    private fun takeOver(message: Handover): PeerMessage {
        val refusal = refuseEpoch(message.epoch)
        if (refusal != null) return refusal
        val departed = membership.value.departed
        message.servers.forEach { (server, handed) ->
            val load = owned(server)
            val limits = directory.find(server)?.entry?.limits
            if (load != null && limits != null) load.inheritLimit(limits, handed.limit, now)
            handed.grants.filterKeys { it !in departed }.forEach { (holder, records) ->
                load?.addGrants(holder, records, now)
            }
        }
        pumpAll()
        return Ack
    }

    private fun refuseEpoch(epoch: Long): Refusal? {
        val held = chain.lastOrNull()?.epoch ?: 0
        if (epoch > held) epochs.refresh()
        return if (epoch == held) null else Refusal("the epoch here is $held")
    }

    /** The load of [server] if this instance owns it under the newest known epoch. */
    private fun owned(server: BackendServerId): OwnedServer? {
        if (gapSince != null || !chain.lastOrNull().isOwner(server)) return null
        return loads.getOrPut(server) { OwnedServer(server, chain.takeLastWhile { it.isOwner(server) }.first()) }
    }

    private fun ObservedEpoch?.isOwner(server: BackendServerId): Boolean = this != null && owner(server) == self

    private fun ObservedEpoch.owner(server: BackendServerId): InstanceId? =
        Rendezvous.first(server.value, members) { it.value }

    /** Moves to the newest known epoch of the own domain. */
    private fun sync() {
        val epoch = epochs.ownEpoch ?: return
        val last = chain.lastOrNull()
        if (last != null && last.epoch >= epoch.epoch) return
        val missed = if (last ==
            null
        ) {
            emptyList()
        } else {
            ((last.epoch + 1) until epoch.epoch).map { it to epochs.membersAt(it) }
        }
        val isGap = last == null || missed.any { it.second == null }
        if (last != null && isGap) {
            // The history in the row closes the gap, unless the table service can't be read.
            val since = gapSince ?: now.also { gapSince = it }
            if (since.elapsedNow() < GAP_WAIT) return
        }
        gapSince = null
        if (isGap) chain.clear()
        if (!isGap) missed.forEach { (number, ids) -> chain += ObservedEpoch(number, ids.orEmpty(), now) }
        chain += ObservedEpoch(epoch.epoch, epoch.members.map { it.id }.toSet(), now)
        while (chain.size > CHAIN_KEPT) chain.removeFirst()
        move(epoch.epoch, epoch.members, isGap)
    }

    private fun move(epoch: Long, members: List<Instance>, isGap: Boolean) {
        val lost = mutableMapOf<Instance, MutableList<OwnedServer>>()
        loads.values.toList().forEach { load ->
            val owner = Rendezvous.first(load.id.value, members) { it.id.value }
            if (owner?.id == self) {
                val since = chain.takeLastWhile { it.isOwner(load.id) }.first()
                val isCutByTrim = !isGap && since === chain.first()
                if (since.epoch > load.ownedSince.epoch && !isCutByTrim) {
                    load.ownedSince = since
                    load.isRecovered = false
                }
            } else {
                loads -= load.id
                load.denyAll(DenyReason.NOT_OWNER)
                if (owner != null) lost.getOrPut(owner) { mutableListOf() } += load
            }
        }
        lost.forEach { (owner, handed) -> context.scope.launch { handOver(epoch, owner, handed) } }
    }

    private suspend fun handOver(epoch: Long, owner: Instance, handed: List<OwnedServer>) {
        log.info { "owner: ${handed.size} servers go to ${owner.id} with epoch $epoch" }
        val start = now
        while (start.elapsedNow() < HANDOVER_BOUND && epochs.ownEpoch?.epoch == epoch) {
            val message = Handover(epoch, handed.filter { it.rampLimit != null }.associate { it.id to it.toHanded() })
            val answer = context.peers.call(owner.peerAddress, message, CALL_TIMEOUT).getOrElse { null }
            if (answer == Ack || owner.id in membership.value.departed) return
            delay(RETRY_PAUSE)
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

    private fun pumpAll() {
        sync()
        note()
        loads.values.toList().forEach { load ->
            expire(load)
            pump(load)
            // A server that comes back under its old id is fresh.
            if (directory.find(load.id) == null && load.isIdle && load.isRecovered) loads -= load.id
        }
    }

    private fun note() {
        val view = membership.value
        view.members.values.forEach { known[it.instance.id] = it.instance.failureDomain }
        epochs.current.value.values.forEach { epoch -> epoch.members.forEach { known[it.id] = epoch.domain } }
        epochs.leftInstances.forEach { known[it] = domain }
        known.keys.removeAll(view.departed)
        reported.keys.removeAll(view.departed)
    }

    private fun expire(load: OwnedServer) {
        val view = membership.value
        val entry = directory.find(load.id)?.entry
        val maxRun = (entry?.limits?.maxRunMillis ?: 0).milliseconds
        load.grants.values.removeAll { held ->
            // A silent holder may be frozen: it can't end its request at the deadline, only the server can.
            val isSilent = held.holder != self && view.members[held.holder]?.state != Member.State.ALIVE
            when {
                // A plain service goes on with a request after its connection has closed.
                held.holder in view.departed && entry?.kind != ServiceKind.PLAIN -> true
                held.holder in view.departed || !isSilent -> held.endsAt.hasPassedNow()
                else -> held.endsAt.hasPassedNow() && held.grantedAt.elapsedNow() >= DISPATCH_START_TIMEOUT + maxRun
            }
        }
    }

    private fun pump(load: OwnedServer) {
        if (load.queue.isEmpty()) return
        val listed = directory.find(load.id)
        if (listed?.state != ListedServer.State.InService) return load.denyAll(DenyReason.OUT_OF_SERVICE)
        expire(load)
        val limit = limit(load, listed) ?: 0
        while (load.queue.isNotEmpty() && load.inFlight < limit) {
            val next = load.queue.minBy { it.rank }
            load.queue -= next
            next.answer.complete(grant(load, next, limit))
        }
    }

    private fun grant(load: OwnedServer, waiter: QueuedReservation, limit: Int): PeerMessage {
        val waited = waiter.received.elapsedNow()
        val remaining = waiter.message.remainingMillis.milliseconds
        if (waited >= remaining) return Denied(DenyReason.FULL, load.inFlight, limit)
        val epoch = chain.last().epoch
        // Different owners never make the same number, since their epochs differ.
        val id = (epoch shl GRANT_BITS) + nextGrant++
        load.grants[id] = OutstandingGrant(waiter.from, now, waiter.received + remaining + GRANT_EXPIRY_MARGIN)
        return Granted(id, epoch, (waited + DISPATCH_START_TIMEOUT).inWholeMilliseconds, load.inFlight, limit)
    }

    /** What may be in flight on the server now; null while it is not yet known what earlier owners granted. */
    private fun limit(load: OwnedServer, listed: ListedServer): Int? {
        val limits = listed.entry.limits
        val inherited = heard[load.id]?.takeIf { it.at >= load.ownedSince.learnedAt - HEARD_WITHIN }?.limit
        val full = load.ramp(limits, inherited, now).limit
        val half = full / 2
        val share = if (load.isRecovered) full else recover(load, full, limits.maxRunMillis.milliseconds)
        return if (epochs.isValid()) share else share?.coerceAtMost(half)
    }

    private fun recover(load: OwnedServer, full: Int, maxRun: Duration): Int? {
        note()
        val epoch = load.ownedSince.epoch
        val missing = known.keys.filter { (reported[it] ?: 0) < epoch }
        val isFenced = load.ownedSince.learnedAt.elapsedNow() >= FENCE + maxRun
        val isReported = missing.isEmpty() && epochs.isConfirmedByPeer(epoch) && isSettled()
        if (!isFenced && !isReported) return null
        val earlier = missing.filter { it != self && known[it] == domain && mayOwnEarlier(load, it) }
        if (earlier.isEmpty()) load.isRecovered = true
        return (full - earlier.size * (full / 2)).coerceAtLeast(0)
    }

    // A domain's only instance may start while its predecessor still runs requests that only the other domains know of.
    private fun isSettled(): Boolean = membership.value.alive.size > 1 ||
        context.seeds.all { it == context.self.peerAddress } ||
        startedAt.elapsedNow() >= SETTLE_BOUND

    /** Whether [id] may have owned the server in an epoch before this instance did, as far as the row tells. */
    private fun mayOwnEarlier(load: OwnedServer, id: InstanceId): Boolean {
        var number = load.ownedSince.epoch - 1
        while (number > 0) {
            val members = epochs.membersAt(number)
                ?: return number == load.ownedSince.epoch - 1 || id !in chain.last().members
            if (Rendezvous.first(load.id.value, members) { it.value } == id) return true
            number--
        }
        return false
    }

    public companion object {
        /** Wait for the grants of an owner that can't be reached; longer than [DomainEpochs.VALIDITY] and a start. */
        public val FENCE: Duration = 8.seconds

        private val TICK = 100.milliseconds
        private val HEARD_WITHIN = 10.seconds
        private val GAP_WAIT = 3.seconds
        private val HANDOVER_BOUND = 10.seconds
        private val CALL_TIMEOUT = 1.seconds
        private val RETRY_PAUSE = 200.milliseconds
        private val SETTLE_BOUND = 10.seconds
        private const val LEAST_WORTH = 0.001
        private const val CHAIN_KEPT = 64
        private const val DIGESTS = 32
        private const val GRANT_BITS = 32
    }
}
