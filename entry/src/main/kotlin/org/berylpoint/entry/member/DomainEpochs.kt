package org.berylpoint.entry.member

import arrow.core.Either
import arrow.core.left
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.berylpoint.entry.node.NodeContext
import org.berylpoint.model.BackendServer
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.Instance
import org.berylpoint.model.InstanceId
import org.berylpoint.peer.EpochDigest
import org.berylpoint.peer.PeerError
import org.berylpoint.peer.PeerMessage.Heartbeat
import org.berylpoint.platform.PlatformError
import org.berylpoint.platform.RowKey
import org.berylpoint.platform.RowWrite
import org.berylpoint.policy.Rendezvous
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/**
 * Keeps the row `domain/<name>` of the own failure domain and knows the epochs of all domains.
 *
 * Every change of the row is conditional on its version, which is the epoch. A member of the epoch adds live
 * instances of its domain and removes those that are confirmed gone or silent for [UNCONFIRMED_REMOVAL]. An instance
 * that is no member writes only if all members are confirmed gone. So a writer that others do not know of can't
 * exist, and the members' confirmations of an epoch prove that it is the newest one: a member stops to confirm its
 * epoch before it sends a write, until the outcome of the write is known.
 */
public class DomainEpochs(
    private val context: NodeContext,
    private val membership: StateFlow<MembershipView>,
    /** Told of members of the row that no instance here has heard of and whose port refuses. */
    private val markDeparted: (InstanceId) -> Unit,
) : HeartbeatExtension {
    private class Known(val epoch: DomainEpoch, var readAt: ComparableTimeMark?, val since: ComparableTimeMark)

    private class ReadRow(val version: Long, val row: DomainRow)

    private class Confirmation(val epoch: Long, val at: ComparableTimeMark)

    private class Wish(val members: Set<InstanceId>, val since: ComparableTimeMark)

    private val self: Instance = context.self
    private val domain: FailureDomain = self.failureDomain
    private val key = RowKey(PARTITION, domain.name)
    private val known = mutableMapOf<FailureDomain, Known>()
    private val state = MutableStateFlow<Map<FailureDomain, DomainEpoch>>(emptyMap())
    private val confirmations = mutableMapOf<InstanceId, Confirmation>()
    private val silentSince = mutableMapOf<InstanceId, ComparableTimeMark>()
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private var lastRow: ReadRow? = null
    private var lastRead: ComparableTimeMark? = null
    private var lastProbe: ComparableTimeMark? = null
    private var isReadWanted = true
    private var heartbeats = 0
    private var isRowAbsent = false
    private var isLeaving = false
    private var unresolved: RowWrite.Put? = null
    private var wish: Wish? = null

    /** The newest known epoch of each failure domain. */
    public val current: StateFlow<Map<FailureDomain, DomainEpoch>> = state.asStateFlow()

    /** The newest known epoch of the own failure domain. */
    internal val ownEpoch: DomainEpoch? get() = state.value[domain]

    /** Starts to read and to write the row. */
    public fun start() {
        context.scope.launch {
            while (isActive) {
                tick()
                withTimeoutOrNull(INTERVAL) { wake.receive() }
                // Bounds the reads of callers that ask for one again and again.
                delay(MIN_PAUSE)
            }
        }
    }

    /** The owner of [server] by the newest known epoch of its domain. */
    public fun ownerOf(server: BackendServer): Instance? = state.value[server.failureDomain]?.ownerOf(server.id)

    /** Asks for a read of the row soon, as after a sign of a newer epoch. */
    public fun refresh() {
        isReadWanted = true
        wake.trySend(Unit)
    }

    /**
     * Whether the own domain's epoch is proved to be the newest one within the last [VALIDITY]: by a read of the row
     * through any instance, or by confirmations of all other members that are not confirmed gone.
     */
    public fun isValid(): Boolean {
        val held = known[domain] ?: return false
        if (held.epoch.members.none { it.id == self.id }) return false
        if (held.readAt.isWithin(VALIDITY)) return true
        val departed = membership.value.departed
        return unresolved == null &&
            held.epoch.members.filter { it.id != self.id && it.id !in departed }.all { member ->
                confirmations[member.id]?.let { it.epoch == held.epoch.epoch && it.at.isWithin(VALIDITY) } ?: false
            }
    }

    /** Removes this instance from its domain; false if that was not possible within [LEAVE_BOUND]. */
    public suspend fun leave(): Boolean {
        isLeaving = true
        refresh()
        return withTimeoutOrNull(LEAVE_BOUND) {
            state.first { epochs -> epochs[domain]?.members.orEmpty().none { it.id == self.id } }
        } != null
    }

    /** The members of the own domain at an earlier epoch; null if that is not known. */
    internal fun membersAt(epoch: Long): Set<InstanceId>? =
        lastRow?.takeIf { epoch <= it.version }?.let { it.row.membersAt(epoch, it.version) }

    /** Instances of the own domain that have left its row and may still run requests. */
    internal val leftInstances: List<InstanceId> get() = lastRow?.row?.left.orEmpty()

    /** Whether another member of the own domain was heard at [epoch] or later; true if there is no other member. */
    internal fun isConfirmedByPeer(epoch: Long): Boolean {
        val departed = membership.value.departed
        val others = ownEpoch?.members.orEmpty().map { it.id }.filter { it != self.id && it !in departed }
        return others.isEmpty() || others.any { (confirmations[it]?.epoch ?: 0) >= epoch }
    }

    override fun fill(heartbeat: Heartbeat): Heartbeat {
        val isListDue = ++heartbeats % LIST_EVERY == 0
        val told = known.values.filter { it.epoch.domain != domain || unresolved == null }
        return heartbeat.copy(
            epochs = told.map {
                // The lists were most of the bytes of a heartbeat; later ones carry them now and then for newcomers.
                val members = it.epoch.members.takeIf { _ -> isListDue || it.since.elapsedNow() < SPREAD_FOR }
                EpochDigest(it.epoch.domain, it.epoch.epoch, members, it.readAt.ageMillis())
            },
        )
    }

    override fun receive(heartbeat: Heartbeat, ageMillis: Long) {
        val limit = VALIDITY.inWholeMilliseconds
        heartbeat.epochs.forEach { digest ->
            val age = if (digest.ageMillis < 0 || ageMillis > limit) limit + 1 else digest.ageMillis + ageMillis
            val readAt = if (age <= limit) context.time.markNow() - age.milliseconds else null
            val members = digest.members ?: known[digest.domain]?.epoch?.takeIf { it.epoch == digest.epoch }?.members
            if (members != null) learn(DomainEpoch(digest.domain, digest.epoch, members), readAt)
            if (digest.domain == domain && ageMillis <= limit) {
                val at = context.time.markNow() - ageMillis.milliseconds
                confirmations[heartbeat.sender.id] = Confirmation(digest.epoch, at)
            }
        }
    }

    private fun learn(epoch: DomainEpoch, readAt: ComparableTimeMark?) {
        val held = known[epoch.domain]
        if (held != null && held.epoch.epoch > epoch.epoch) return
        if (held != null && held.epoch.epoch == epoch.epoch) {
            val older = held.readAt
            if (readAt != null && (older == null || older < readAt)) held.readAt = readAt
            return
        }
        known[epoch.domain] = Known(epoch, readAt, context.time.markNow())
        if (epoch.domain == domain) {
            log.info { "member: $domain is at epoch ${epoch.epoch} with ${epoch.members.size} members" }
            isRowAbsent = false
            if ((unresolved?.expected ?: epoch.epoch) < epoch.epoch) unresolved = null
            refresh()
        }
        state.value = known.mapValues { it.value.epoch }
    }

    private suspend fun tick() {
        val view = membership.value
        val members = known[domain]?.epoch?.members.orEmpty()
        val alive = view.aliveIn(domain).map { it.id }.toSet()
        members.filter { it.id !in alive }.forEach { silentSince.getOrPut(it.id) { context.time.markNow() } }
        silentSince.keys.retainAll(members.map { it.id }.toSet() - alive)
        confirmations.keys.removeAll(view.departed)
        if (isReadDue(view)) read()
        if (!lastProbe.isWithin(PROBE_INTERVAL)) probeStrangers(members, view)
        val repeated = unresolved
        if (repeated != null) write(repeated) else propose(view)
    }

    private fun isReadDue(view: MembershipView): Boolean {
        if (isReadWanted) return true
        val pollers = Rendezvous.ranked(domain.name, view.aliveIn(domain)) { it.id.value }.take(POLLERS)
        val isPoller = pollers.any { it.id == self.id }
        return if (isPoller) !lastRead.isWithin(POLL_INTERVAL) else !known[domain]?.readAt.isWithin(READ_BY_ALL_AFTER)
    }

    /**
     * Calls members of the row that are not in [view]. After all instances of a site have ended, no other instance
     * can tell a new one that they are gone.
     */
    private fun probeStrangers(members: List<Instance>, view: MembershipView) {
        lastProbe = context.time.markNow()
        members.filter { it.id !in view.members && it.id !in view.departed }.forEach { stranger ->
            context.scope.launch {
                context.peers.call(stranger.peerAddress, Heartbeat(self), Membership.HEARTBEAT_TIMEOUT).fold(
                    ifLeft = { if (it == PeerError.Refused) markDeparted(stranger.id) },
                    // Another instance has taken over the address.
                    ifRight = { if (it is Heartbeat && it.sender.id != stranger.id) markDeparted(stranger.id) },
                )
            }
        }
    }

    private suspend fun read() {
        val start = context.time.markNow()
        lastRead = start
        isReadWanted = false
        call { context.table.get(key) }.onRight { row ->
            if (row == null) {
                isRowAbsent = known[domain] == null
            } else {
                val value = DomainRow.decode(row.value)
                remember(row.version, value)
                learn(DomainEpoch(domain, row.version, value.members), start)
            }
        }
    }

    private suspend fun propose(view: MembershipView) {
        val held = known[domain]
        val row = lastRow
        if (held == null) {
            if (isRowAbsent && !isLeaving) put(0, DomainRow(emptyList()), view.aliveIn(domain), emptyList())
            return
        }
        if (row == null || row.version != held.epoch.epoch) {
            isReadWanted = true
            return
        }
        val target = target(row.row, view)
        val ids = target.map { it.id }.toSet()
        if (ids == row.row.members.map { it.id }.toSet()) {
            wish = null
            return
        }
        val wished = wish?.takeIf { it.members == ids } ?: Wish(ids, context.time.markNow()).also { wish = it }
        if (wished.since.elapsedNow() < turn(row.row, view)) return
        val left = row.row.left + if (isLeaving) listOf(self.id) else emptyList()
        put(row.version, row.row, target, left.distinct().filter { it !in view.departed })
    }

    /** The members that the next epoch should have, as far as this instance may change them. */
    private fun target(row: DomainRow, view: MembershipView): List<Instance> {
        val gone = row.members.filter { it.id in view.departed }
        val isMember = row.members.any { it.id == self.id }
        if (!isMember && gone.size < row.members.size) return row.members
        val silent = if (isMember) silent(row) else emptySet()
        val kept = row.members.filter { it !in gone && it.id !in silent }
        val keptIds = row.members.map { it.id }.toSet()
        val joining = view.aliveIn(domain).filter { it.id !in keptIds && it.id !in row.left }
        return (kept + joining).filterNot { isLeaving && it.id == self.id }.sortedBy { it.id.value }
    }

    private fun silent(row: DomainRow): Set<InstanceId> {
        val quiet = row.members.map { it.id }.filter { it in silentSince }
        // The larger side of a partition goes first, since the first side to write keeps the servers.
        val isMinority = (row.members.size - quiet.size) * 2 < row.members.size
        val wait = UNCONFIRMED_REMOVAL - Membership.SUSPECT_AFTER + if (isMinority) MINORITY_DELAY else Duration.ZERO
        return quiet.filter { silentSince.getValue(it).elapsedNow() >= wait }.toSet()
    }

    /** How long this instance leaves a change to the live members before it in the order of ids. */
    private fun turn(row: DomainRow, view: MembershipView): Duration {
        if (isLeaving) return Duration.ZERO
        val alive = view.aliveIn(domain).map { it.id }
        val members = row.members.map { it.id }.filter { it in alive }
        val writers = members.ifEmpty { alive }.sortedBy { it.value }
        return INTERVAL * writers.indexOf(self.id).coerceAtLeast(0)
    }

    private suspend fun put(version: Long, row: DomainRow, target: List<Instance>, left: List<InstanceId>) {
        write(RowWrite.Put(key, row.next(version + 1, target, left).encode(), version))
    }

    /**
     * Writes [put]. A write without an answer may still take effect later, so it is repeated until this instance
     * knows that the row's version has moved on, by it or by another write.
     */
    private suspend fun write(put: RowWrite.Put) {
        val isRepeat = unresolved != null
        unresolved = put
        val start = context.time.markNow()
        call { context.table.transact(listOf(put)) }.fold(
            ifLeft = { error ->
                val mayHaveMoved = error is PlatformError.NoAnswer || error is PlatformError.ConditionFailed
                if (!isRepeat && !mayHaveMoved) unresolved = null
                isReadWanted = true
            },
            ifRight = {
                val row = DomainRow.decode(put.value)
                val epoch = (put.expected ?: 0) + 1
                remember(epoch, row)
                learn(DomainEpoch(domain, epoch, row.members), start)
            },
        )
    }

    private fun remember(version: Long, row: DomainRow) {
        if (version >= (lastRow?.version ?: 0)) lastRow = ReadRow(version, row)
    }

    private suspend fun <T> call(block: suspend () -> Either<PlatformError, T>): Either<PlatformError, T> =
        withTimeoutOrNull(CALL_TIMEOUT) { block() } ?: PlatformError.NoAnswer("no answer in $CALL_TIMEOUT").left()

    private fun ComparableTimeMark?.isWithin(limit: Duration): Boolean = this != null && elapsedNow() <= limit

    private fun ComparableTimeMark?.ageMillis(): Long = this?.elapsedNow()?.inWholeMilliseconds ?: -1

    public companion object {
        // Several heartbeats to every member at today's sizes.
        private val SPREAD_FOR = 3.seconds

        // A prime, so that the turn comes to every peer; with eight peers a newcomer waits about a second.
        private const val LIST_EVERY = 17

        /** Time for which a proof that an epoch is the newest holds. */
        public val VALIDITY: Duration = 6.seconds

        /** Silence after which a member may be removed without being confirmed gone. */
        public val UNCONFIRMED_REMOVAL: Duration = 10.seconds

        /** Longest time that [leave] takes. */
        public val LEAVE_BOUND: Duration = 4.seconds

        private const val PARTITION = "domain"
        private const val POLLERS = 2
        private val INTERVAL = 500.milliseconds
        private val MIN_PAUSE = 50.milliseconds
        private val POLL_INTERVAL = 900.milliseconds

        // Half of the validity: the pollers are then dead or cut off from the platform.
        private val READ_BY_ALL_AFTER = 3.seconds
        private val MINORITY_DELAY = 4.seconds
        private val PROBE_INTERVAL = 2.seconds
        private val CALL_TIMEOUT = 2500.milliseconds
    }
}
