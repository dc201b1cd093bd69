package org.berylpoint.entry.gateway.duty

import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.entry.gateway.site.StoreEras
import org.berylpoint.peer.NodeReport
import org.berylpoint.platform.cloud.DutyHolder
import org.berylpoint.platform.store.RowCondition
import org.berylpoint.platform.store.RowWrite
import org.berylpoint.platform.store.StoreClient
import org.berylpoint.platform.store.StoreError
import org.berylpoint.platform.store.StoreRevision
import org.berylpoint.platform.store.StoreRow
import org.berylpoint.policy.Rendezvous
import org.berylpoint.policy.duty.HeldLease
import org.berylpoint.policy.duty.LeaseClaim
import org.berylpoint.policy.duty.LeaseRecord
import org.berylpoint.policy.duty.StoredLease
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds

/** The lease as it is stored in JSON; [expires] is in milliseconds of the store's clock. */
@Serializable
internal data class LeaseRow(val holder: String, val token: Long, val expires: Long)

/**
 * Acquires and renews the lease under which one instance does the duties, the work that only one instance of the site
 * may do at a time: reporting usage, ordering servers and writing rollout states.
 *
 * The lease is never released early. Otherwise, within one lease duration, an instance could act, stop and start again
 * and act a second time, with an act of another holder in between.
 */
public class DutyLeaseManager(
    private val self: String,
    private val store: StoreClient,
    private val peers: PeerView,
    private val clocks: Clocks,
    private val log: DecisionLog,
    private val durationMillis: Long,
    private val eras: StoreEras = StoreEras(clocks, log),
) {
    private val claim = LeaseClaim(durationMillis)

    @Volatile
    private var held: HeldLease? = null

    /** Revision of the row by which the lease is [held]. */
    @Volatile
    private var revision = StoreRevision.NONE
    private var vacantSinceMillis: Long? = null
    private val highestSeenToken = AtomicLong()

    /**
     * The holder to name in calls of duties, or null while this instance must not act. A lease that was written before
     * a restore of the store is not acted on.
     */
    public val holder: DutyHolder?
        get() = held?.takeIf { revision.era == eras.current && it.mayAct(clocks.steadyMillis, clocks.wallMillis) }
            ?.let { DutyHolder(self, it.fencingToken) }

    /** The highest fencing token that this instance knows of, of any holder and era; 0 for none. */
    public val highestToken: Long get() = highestSeenToken.get()

    /** Records the fencing tokens that the sender of [report] knows of. */
    public fun notePeer(report: NodeReport): Unit = recordToken(maxOf(report.dutyToken, report.highestDutyToken))

    private fun recordToken(token: Long) {
        highestSeenToken.accumulateAndGet(token) { a, b -> maxOf(a, b) }
    }

    /** Runs until cancelled. While [isStopping] is true, the lease is neither acquired nor renewed. */
    public suspend fun run(isStopping: () -> Boolean) {
        while (true) {
            delay(CHECK_INTERVAL)
            if (isStopping()) continue
            check()
        }
    }

    /** Acquires or renews the lease if that is due. */
    internal suspend fun check() {
        val lease = held
        when {
            lease == null -> acquireWhenVacant()
            revision.era != eras.current -> regain(lease)
            else -> renewWhenDue(lease)
        }
    }

    private suspend fun renewWhenDue(lease: HeldLease) {
        if (!lease.mayAct(clocks.steadyMillis + RENEW_AHEAD_MILLIS, clocks.wallMillis + RENEW_AHEAD_MILLIS)) {
            writeLease(lease.fencingToken, revision)
        }
    }

    /**
     * Writes a [lease] again that was held when the store was restored. Until it ends by this instance's clocks nobody
     * else can have held one, whatever row the copy has brought back.
     */
    private suspend fun regain(lease: HeldLease) {
        if (!lease.mayAct(clocks.steadyMillis, clocks.wallMillis)) return lose(lease)
        store.read(TABLE).fold(
            ifLeft = { log.event("duty", "reading the lease failed", "cause" to it) },
            ifRight = { rows ->
                val row = rows.rows.firstOrNull { it.key == KEY }
                val stored = storedLease(row)
                val isOthers = stored is StoredLease.Readable && stored.record.holder != self
                if (isOthers && row != null && !eras.isFromCopy(row.revision)) return lose(lease)
                val expected = StoreRevision(rows.revision.era, row?.revision?.number ?: 0)
                log.event("duty", "the lease is written again", "token" to lease.fencingToken, "row" to row?.revision)
                writeLease(claim.tokenAbove(stored, tokenFloor()), expected, rows.clockMillis)
            },
        )
    }

    private fun lose(lease: HeldLease) {
        log.event("duty", "the lease is lost", "token" to lease.fencingToken)
        held = null
    }

    /** No token up to this one is given again: a restore may have lost the row that named it. */
    private fun tokenFloor(): Long = if (eras.current > 0) maxOf(highestToken, eras.highestNumber) else highestToken

    /**
     * Acquires the lease when no live instance reports that it holds it. Instances try one after another, in the order
     * of rendezvous hashing, so that few calls are made.
     */
    private suspend fun acquireWhenVacant() {
        val now = clocks.steadyMillis
        if (peers.liveReports.any { it.dutyToken > 0 && !it.isLeaving }) {
            vacantSinceMillis = null
            return
        }
        val since = vacantSinceMillis ?: now.also { vacantSinceMillis = it }
        val live = peers.liveReports.filterNot { it.isLeaving }.map { it.name } + self
        val rank = Rendezvous.ranked(TABLE, live) { it }.indexOf(self)
        if (now - since < VACANCY_DELAY_MILLIS + rank * RANK_DELAY_MILLIS) return
        vacantSinceMillis = null
        store.read(TABLE).fold(
            ifLeft = { log.event("duty", "reading the lease failed", "cause" to it) },
            ifRight = { rows ->
                val row = rows.rows.firstOrNull { it.key == KEY }
                if (mayBeHeldSinceRestore(row)) return
                val token = claim.token(storedLease(row), rows.clockMillis, clocks.steadyMillis, tokenFloor())
                val expected = StoreRevision(rows.revision.era, row?.revision?.number ?: 0)
                if (token != null) writeLease(token, expected, rows.clockMillis)
            },
        )
    }

    /**
     * Whether an instance may hold the lease although the restored store does not show it: its row was lost, or [row]
     * is from the copy. It may act until the lease that it had ends by its own clocks.
     */
    private fun mayBeHeldSinceRestore(row: StoreRow?): Boolean {
        val age = eras.ageMillis ?: return false
        return age < durationMillis && (row == null || eras.isFromCopy(row.revision))
    }

    /** Offset from this process's steady clock to the store's clock. */
    private var storeClockOffsetMillis: Long? = null

    private suspend fun writeLease(token: Long, expected: StoreRevision, storeClockMillis: Long? = null) {
        val steady = clocks.steadyMillis
        val wall = clocks.wallMillis
        val now = storeClockMillis ?: storeClockOffsetMillis?.let { it + steady } ?: return
        val row = LeaseRow(self, token, now + durationMillis)
        val bytes = Json.encodeToString(LeaseRow.serializer(), row).encodeToByteArray()
        store.commit(listOf(RowCondition(TABLE, KEY, expected.number)), listOf(RowWrite(TABLE, KEY, bytes))).fold(
            ifLeft = ::onWriteFailed,
            ifRight = { commit ->
                recordToken(token)
                // The number of the condition was read in another era, in which it may have been issued again.
                if (commit.revision.era != expected.era) {
                    log.event("duty", "the lease was written to a restored store", "token" to token)
                    return
                }
                // The answer's time is not before the commit's, so the remaining time is never overestimated.
                val remainingMillis = row.expires - commit.clockMillis
                if (held == null) log.event("duty", "the lease is held", "token" to token, "left" to remainingMillis)
                storeClockOffsetMillis = commit.clockMillis - clocks.steadyMillis
                revision = commit.revision
                held = HeldLease(token, steady, wall, remainingMillis)
            },
        )
    }

    private fun onWriteFailed(error: StoreError) {
        log.event("duty", "writing the lease failed", "cause" to error, "token" to held?.fencingToken)
        val lease = held ?: return
        // A write whose outcome is unknown leaves the lease as it was; it expires unless a later renewal succeeds.
        // A conflict in a new era says only that the row was lost with the store's last seconds; see [regain].
        val isTaken = error is StoreError.Conflict && revision.era == eras.current
        if (isTaken || !lease.mayAct(clocks.steadyMillis, clocks.wallMillis)) {
            lose(lease)
        }
    }

    private fun storedLease(row: StoreRow?): StoredLease {
        if (row == null) return StoredLease.Absent
        return try {
            val json = Json.decodeFromString(LeaseRow.serializer(), row.value.decodeToString())
            recordToken(json.token)
            val record = LeaseRecord(json.holder, json.token, json.expires)
            // Its time of expiry is one of another clock, and nobody has renewed it since the restore.
            val isLeft = eras.changedAtMillis != null && eras.isFromCopy(row.revision)
            StoredLease.Readable(record, row.revision.number, isLeft)
        } catch (e: SerializationException) {
            log.event("duty", "the lease row is malformed", "cause" to e.message)
            StoredLease.Unreadable(row.revision.number)
        }
    }

    private companion object {
        const val TABLE = "duty"
        const val KEY = "lease"
        val CHECK_INTERVAL = 250.milliseconds

        /** The lease is renewed this long before its holder would have to stop acting. */
        const val RENEW_AHEAD_MILLIS = 1_500L

        /** Time for which no live instance must hold the lease before the first in order tries to acquire it. */
        const val VACANCY_DELAY_MILLIS = 800L

        /** Further delay of each instance behind the one before it in order. */
        const val RANK_DELAY_MILLIS = 400L
    }
}
