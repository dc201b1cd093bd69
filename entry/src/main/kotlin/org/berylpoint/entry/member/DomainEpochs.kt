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
 * Maintains the row `domain/<name>` of the own failure domain and tracks the epochs of all domains.
 *
 * Every write of the row is conditional on its version, which is the epoch. A member of the epoch adds live instances
 * of its domain and removes those that are confirmed departed or unreachable for [UNCONFIRMED_REMOVAL]. An instance
 * that is not a member writes only if all members are confirmed departed, so every other writer is a member. A member
 * stops confirming its epoch before it sends a write and resumes when the outcome of the write is known. Confirmations
 * of an epoch by all members therefore prove that it is the newest one.
 */
public class DomainEpochs(
    private val context: NodeContext,
    private val membership: StateFlow<MembershipView>,
    /** Called with members of the row that are unknown to the membership and found to have departed. */
    private val markDeparted: (InstanceId) -> Unit,
) : HeartbeatExtension {
    private class KnownEpoch(val epoch: DomainEpoch, var readAt: ComparableTimeMark?, val since: ComparableTimeMark)

    private class ReadRow(val version: Long, val row: DomainRow)

    private class Confirmation(val epoch: Long, val at: ComparableTimeMark)

    private class PendingChange(val members: Set<InstanceId>, val since: ComparableTimeMark)

    private val self: Instance = context.self
    private val domain: FailureDomain = self.failureDomain
    private val key = RowKey(PARTITION, domain.name)
    private val knownEpochs = mutableMapOf<FailureDomain, KnownEpoch>()
    private val state = MutableStateFlow<Map<FailureDomain, DomainEpoch>>(emptyMap())
    private val confirmations = mutableMapOf<InstanceId, Confirmation>()
    private val unreachableSince = mutableMapOf<InstanceId, ComparableTimeMark>()
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)
    private var lastRow: ReadRow? = null
    private var lastRead: ComparableTimeMark? = null
    private var lastProbe: ComparableTimeMark? = null
    private var isReadRequested = true
    private var heartbeatCount = 0
    private var isRowAbsent = false
    private var isLeaving = false
    private var unresolved: RowWrite.Put? = null
    private var pendingChange: PendingChange? = null

    /** The newest known epoch of each failure domain. */
    public val current: StateFlow<Map<FailureDomain, DomainEpoch>> = state.asStateFlow()

    /** The newest known epoch of the own failure domain. */
    internal val ownEpoch: DomainEpoch? get() = state.value[domain]

    /** Starts to read and write the row. */
    public fun start() {
        context.scope.launch {
            while (isActive) {
                tick()
                withTimeoutOrNull(TICK_INTERVAL) { wakeUps.receive() }
                // Limits the rate of reads that repeated calls of refresh can cause.
                delay(MIN_TICK_INTERVAL)
            }
        }
    }

    /** Returns the owner of [server] under the newest known epoch of its domain; null if there is none. */
    public fun ownerOf(server: BackendServer): Instance? = state.value[server.failureDomain]?.ownerOf(server.id)

    /** Requests an early read of the row, for example after evidence of a newer epoch. */
    public fun refresh() {
        isReadRequested = true
        wakeUps.trySend(Unit)
    }

    /**
     * Whether this instance is a member of the known epoch of its domain and that epoch was proved to be the newest one
     * within the last [VALIDITY]: by a read of the row through any instance, or by confirmations of all other members
     * that have not departed.
     */
    public fun isValid(): Boolean {
        val held = knownEpochs[domain] ?: return false
        if (held.epoch.members.none { it.id == self.id }) return false
        if (held.readAt.isWithin(VALIDITY)) return true
        val departed = membership.value.departed
        return unresolved == null &&
            held.epoch.members.filter { it.id != self.id && it.id !in departed }.all { member ->
                confirmations[member.id]?.let { it.epoch == held.epoch.epoch && it.at.isWithin(VALIDITY) } ?: false
            }
    }

    /** Removes this instance from its domain; returns false if that takes longer than [LEAVE_TIMEOUT]. */
    public suspend fun leave(): Boolean {
        isLeaving = true
        refresh()
        return withTimeoutOrNull(LEAVE_TIMEOUT) {
            state.first { epochs -> epochs[domain]?.members.orEmpty().none { it.id == self.id } }
        } != null
    }

    /** Returns the members of the own domain at an earlier epoch; null if unknown. */
    internal fun membersAt(epoch: Long): Set<InstanceId>? =
        lastRow?.takeIf { epoch <= it.version }?.let { it.row.membersAt(epoch, it.version) }

    /** Instances of the own domain that removed themselves from its row and may still run requests. */
    internal val leftInstances: List<InstanceId> get() = lastRow?.row?.left.orEmpty()

    /** Whether another member of the own domain has confirmed [epoch] or a later one; true if there is no other. */
    internal fun isConfirmedByPeer(epoch: Long): Boolean {
        val departed = membership.value.departed
        val others = ownEpoch?.members.orEmpty().map { it.id }.filter { it != self.id && it !in departed }
        return others.isEmpty() || others.any { (confirmations[it]?.epoch ?: 0) >= epoch }
    }

    override fun fill(heartbeat: Heartbeat): Heartbeat {
        val isMemberListDue = ++heartbeatCount % HEARTBEATS_PER_MEMBER_LIST == 0
        val advertised = knownEpochs.values.filter { it.epoch.domain != domain || unresolved == null }
        return heartbeat.copy(
            epochs = advertised.map {
                // Member lists dominate the size of a heartbeat, so after the first seconds only some carry them.
                val isNew = it.since.elapsedNow() < NEW_EPOCH_LIST_TIME
                val members = it.epoch.members.takeIf { isMemberListDue || isNew }
                EpochDigest(it.epoch.domain, it.epoch.epoch, members, it.readAt.ageMillis())
            },
        )
    }

    override fun receive(heartbeat: Heartbeat, ageMillis: Long) {
        val limit = VALIDITY.inWholeMilliseconds
        heartbeat.epochs.forEach { digest ->
            val age = if (digest.ageMillis < 0 || ageMillis > limit) limit + 1 else digest.ageMillis + ageMillis
            val readAt = if (age <= limit) context.time.markNow() - age.milliseconds else null
            val members = digest.members
                ?: knownEpochs[digest.domain]?.epoch?.takeIf { it.epoch == digest.epoch }?.members
            if (members != null) learn(DomainEpoch(digest.domain, digest.epoch, members), readAt)
            if (digest.domain == domain && ageMillis <= limit) {
                val at = context.time.markNow() - ageMillis.milliseconds
                confirmations[heartbeat.sender.id] = Confirmation(digest.epoch, at)
            }
        }
    }

    private fun learn(epoch: DomainEpoch, readAt: ComparableTimeMark?) {
        val held = knownEpochs[epoch.domain]
        if (held != null && held.epoch.epoch > epoch.epoch) return
        if (held != null && held.epoch.epoch == epoch.epoch) {
            val older = held.readAt
            if (readAt != null && (older == null || older < readAt)) held.readAt = readAt
            return
        }
        knownEpochs[epoch.domain] = KnownEpoch(epoch, readAt, context.time.markNow())
        if (epoch.domain == domain) {
            log.info { "member: failure domain $domain is at epoch ${epoch.epoch} with ${epoch.members.size} members" }
            isRowAbsent = false
            if ((unresolved?.expected ?: epoch.epoch) < epoch.epoch) unresolved = null
            refresh()
        }
        state.value = knownEpochs.mapValues { it.value.epoch }
    }

    private suspend fun tick() {
        val view = membership.value
        val members = knownEpochs[domain]?.epoch?.members.orEmpty()
        val alive = view.aliveIn(domain).map { it.id }.toSet()
        members.filter { it.id !in alive }.forEach { unreachableSince.getOrPut(it.id) { context.time.markNow() } }
        unreachableSince.keys.retainAll(members.map { it.id }.toSet() - alive)
        confirmations.keys.removeAll(view.departed)
        if (isReadDue(view)) read()
        if (!lastProbe.isWithin(PROBE_INTERVAL)) probeUnknownMembers(members, view)
        val repeated = unresolved
        if (repeated != null) write(repeated) else propose(view)
    }

    private fun isReadDue(view: MembershipView): Boolean {
        if (isReadRequested) return true
        val pollers = Rendezvous.ranked(domain.name, view.aliveIn(domain)) { it.id.value }.take(POLLER_COUNT)
        val isPoller = pollers.any { it.id == self.id }
        return if (isPoller) {
            !lastRead.isWithin(POLL_INTERVAL)
        } else {
            !knownEpochs[domain]?.readAt.isWithin(FALLBACK_READ_AFTER)
        }
    }

    /**
     * Probes members of the row that are not in [view]. After all instances of a site have ended, no running instance
     * can report to a new one that they have departed.
     */
    private fun probeUnknownMembers(members: List<Instance>, view: MembershipView) {
        lastProbe = context.time.markNow()
        members.filter { it.id !in view.members && it.id !in view.departed }.forEach { member ->
            context.scope.launch {
                context.peers.call(member.peerAddress, Heartbeat(self), Membership.HEARTBEAT_TIMEOUT).fold(
                    ifLeft = { if (it == PeerError.Refused) markDeparted(member.id) },
                    // Another instance uses the address now.
                    ifRight = { if (it is Heartbeat && it.sender.id != member.id) markDeparted(member.id) },
                )
            }
        }
    }

    private suspend fun read() {
        val start = context.time.markNow()
        lastRead = start
        isReadRequested = false
        call { context.table.get(key) }.onRight { row ->
            if (row == null) {
                isRowAbsent = knownEpochs[domain] == null
            } else {
                val value = DomainRow.decode(row.value)
                updateLastRow(row.version, value)
                learn(DomainEpoch(domain, row.version, value.members), start)
            }
        }
    }

    private suspend fun propose(view: MembershipView) {
        val held = knownEpochs[domain]
        val row = lastRow
        if (held == null) {
            if (isRowAbsent && !isLeaving) put(0, DomainRow(emptyList()), view.aliveIn(domain), emptyList())
            return
        }
        if (row == null || row.version != held.epoch.epoch) {
            isReadRequested = true
            return
        }
        val target = nextMembers(row.row, view)
        val ids = target.map { it.id }.toSet()
        if (ids == row.row.members.map { it.id }.toSet()) {
            pendingChange = null
            return
        }
        val change = pendingChange?.takeIf { it.members == ids }
            ?: PendingChange(ids, context.time.markNow()).also { pendingChange = it }
        if (change.since.elapsedNow() < writeDelay(row.row, view)) return
        val left = row.row.left + if (isLeaving) listOf(self.id) else emptyList()
        put(row.version, row.row, target, left.distinct().filter { it !in view.departed })
    }

    /** Returns the members for the next epoch, as far as this instance may change them. */
    private fun nextMembers(row: DomainRow, view: MembershipView): List<Instance> {
        val departedMembers = row.members.filter { it.id in view.departed }
        val isMember = row.members.any { it.id == self.id }
        if (!isMember && departedMembers.size < row.members.size) return row.members
        val unreachable = if (isMember) findUnreachable(row) else emptySet()
        val kept = row.members.filter { it !in departedMembers && it.id !in unreachable }
        val memberIds = row.members.map { it.id }.toSet()
        val joining = view.aliveIn(domain).filter { it.id !in memberIds && it.id !in row.left }
        return (kept + joining).filterNot { isLeaving && it.id == self.id }.sortedBy { it.id.value }
    }

    private fun findUnreachable(row: DomainRow): Set<InstanceId> {
        val unreachable = row.members.map { it.id }.filter { it in unreachableSince }
        // The first side of a partition to write keeps the servers, so the smaller side waits longer.
        val isMinority = (row.members.size - unreachable.size) * 2 < row.members.size
        val minorityDelay = if (isMinority) MINORITY_REMOVAL_DELAY else Duration.ZERO
        val wait = UNCONFIRMED_REMOVAL - Membership.SUSPECT_AFTER + minorityDelay
        return unreachable.filter { unreachableSince.getValue(it).elapsedNow() >= wait }.toSet()
    }

    /** Delay before this instance writes a change, which gives precedence to live members with lower ids. */
    private fun writeDelay(row: DomainRow, view: MembershipView): Duration {
        if (isLeaving) return Duration.ZERO
        val alive = view.aliveIn(domain).map { it.id }
        val members = row.members.map { it.id }.filter { it in alive }
        val writers = members.ifEmpty { alive }.sortedBy { it.value }
        return TICK_INTERVAL * writers.indexOf(self.id).coerceAtLeast(0)
    }

    private suspend fun put(version: Long, row: DomainRow, target: List<Instance>, left: List<InstanceId>) {
        write(RowWrite.Put(key, row.next(version + 1, target, left).encode(), version))
    }

    /**
     * Writes [put]. A write that got no response may still take effect later, so it is repeated until this instance
     * sees that this write or another one has advanced the version of the row.
     */
    private suspend fun write(put: RowWrite.Put) {
        val isRepeat = unresolved != null
        unresolved = put
        val start = context.time.markNow()
        call { context.table.transact(listOf(put)) }.fold(
            ifLeft = { error ->
                val mayHaveMoved = error is PlatformError.NoAnswer || error is PlatformError.ConditionFailed
                if (!isRepeat && !mayHaveMoved) unresolved = null
                isReadRequested = true
            },
            ifRight = {
                val row = DomainRow.decode(put.value)
                val epoch = (put.expected ?: 0) + 1
                updateLastRow(epoch, row)
                learn(DomainEpoch(domain, epoch, row.members), start)
            },
        )
    }

    private fun updateLastRow(version: Long, row: DomainRow) {
        if (version >= (lastRow?.version ?: 0)) lastRow = ReadRow(version, row)
    }

    private suspend fun <T> call(block: suspend () -> Either<PlatformError, T>): Either<PlatformError, T> =
        withTimeoutOrNull(CALL_TIMEOUT) { block() }
            ?: PlatformError.NoAnswer("no response from the table service within $CALL_TIMEOUT").left()

    private fun ComparableTimeMark?.isWithin(limit: Duration): Boolean = this != null && elapsedNow() <= limit

    private fun ComparableTimeMark?.ageMillis(): Long = this?.elapsedNow()?.inWholeMilliseconds ?: -1

    public companion object {
        // Several heartbeats to every member of a small group.
        private val NEW_EPOCH_LIST_TIME = 3.seconds

        // Prime, so that each peer receives a list in turn; with eight peers a new member waits about a second.
        private const val HEARTBEATS_PER_MEMBER_LIST = 17

        /** Time for which a proof that an epoch is the newest one is valid. */
        public val VALIDITY: Duration = 6.seconds

        /** Time without contact after which a member that is not confirmed departed may be removed. */
        public val UNCONFIRMED_REMOVAL: Duration = 10.seconds

        /** Timeout of [leave]. */
        public val LEAVE_TIMEOUT: Duration = 4.seconds

        private const val PARTITION = "domain"
        private const val POLLER_COUNT = 2
        private val TICK_INTERVAL = 500.milliseconds
        private val MIN_TICK_INTERVAL = 50.milliseconds
        private val POLL_INTERVAL = 900.milliseconds

        // Half of the validity; without a read for that long, the pollers have failed or can't reach the platform.
        private val FALLBACK_READ_AFTER = 3.seconds
        private val MINORITY_REMOVAL_DELAY = 4.seconds
        private val PROBE_INTERVAL = 2.seconds
        private val CALL_TIMEOUT = 2500.milliseconds
    }
}
