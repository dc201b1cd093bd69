package org.berylpoint.entry.gateway.duty

import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.platform.cloud.DutyHolder
import org.berylpoint.platform.store.RowCondition
import org.berylpoint.platform.store.RowWrite
import org.berylpoint.platform.store.StoreClient
import org.berylpoint.platform.store.StoreError
import org.berylpoint.platform.store.StoreRow
import org.berylpoint.policy.Rendezvous
import org.berylpoint.policy.duty.HeldLease
import org.berylpoint.policy.duty.LeaseRecord
import kotlin.time.Duration.Companion.milliseconds

/** The lease as JSON in the store. */
@Serializable
internal data class LeaseRow(val holder: String, val token: Long, val expires: Long)

/**
 * Takes and renews the lease under which one instance does the duties. It is never given back early, so an instance
 * that stops and starts again can't act twice with another one's act in between within the lease's time.
 */
public class DutyLeaseKeeper(
    private val self: String,
    private val store: StoreClient,
    private val peers: PeerView,
    private val clocks: Clocks,
    private val log: DecisionLog,
    private val durationMillis: Long,
) {
    private var held: HeldLease? = null
    private var revision = 0L
    private var vacantSinceMillis: Long? = null

    /** The holder to name in calls, or null while this instance must not act. */
    public val holder: DutyHolder?
        get() = held?.takeIf { it.mayAct(clocks.steady, clocks.wall) }?.let { DutyHolder(self, it.fencingToken) }

    /** Runs until cancelled; [isStopping] ends renewals. */
    public suspend fun run(isStopping: () -> Boolean) {
        while (true) {
            delay(CHECK_INTERVAL)
            if (isStopping()) continue
            val lease = held
            if (lease != null) renewWhenDue(lease) else takeWhenVacant()
        }
    }

    private suspend fun renewWhenDue(lease: HeldLease) {
        if (!lease.mayAct(clocks.steady + RENEW_AHEAD_MILLIS, clocks.wall + RENEW_AHEAD_MILLIS)) {
            write(lease.fencingToken, revision)
        }
    }

    /** Takes the lease when nobody is heard to hold it; instances try in turn so that few calls are made. */
    private suspend fun takeWhenVacant() {
        val now = clocks.steady
        if (peers.live.any { it.dutyToken > 0 && !it.isLeaving }) {
            vacantSinceMillis = null
            return
        }
        val since = vacantSinceMillis ?: now.also { vacantSinceMillis = it }
        val live = peers.live.filterNot { it.isLeaving }.map { it.name } + self
        val rank = Rendezvous.ranked(TABLE, live) { it }.indexOf(self)
        if (now - since < PATIENCE_MILLIS + rank * TURN_MILLIS) return
        vacantSinceMillis = null
        store.read(TABLE).fold(
            ifLeft = { log.belief("duty", "the lease was not read", "cause" to it) },
            ifRight = { rows ->
                val row = rows.rows.firstOrNull { it.key == KEY }
                val record = row?.let(::recordOf)
                if (record == null || record.expiresAtMillis < rows.clockMillis) {
                    write((record?.fencingToken ?: 0) + 1, row?.revision ?: 0, rows.clockMillis)
                }
            },
        )
    }

    private var storeOffset: Long? = null

    private suspend fun write(token: Long, expected: Long, storeMillis: Long? = null) {
        val steady = clocks.steady
        val wall = clocks.wall
        val now = storeMillis ?: storeOffset?.let { it + steady } ?: return
        val row = LeaseRow(self, token, now + durationMillis)
        val bytes = Json.encodeToString(LeaseRow.serializer(), row).encodeToByteArray()
        store.commit(listOf(RowCondition(TABLE, KEY, expected)), listOf(RowWrite(TABLE, KEY, bytes))).fold(
            ifLeft = ::writeFailed,
            ifRight = { commit ->
                // The store's time at the commit is not later than in its answer, so this is on the safe side.
                val left = row.expires - commit.clockMillis
                if (held == null) log.belief("duty", "the lease is held", "token" to token, "left" to left)
                storeOffset = commit.clockMillis - clocks.steady
                revision = commit.revision
                held = HeldLease(token, steady, wall, left)
            },
        )
    }

    private fun writeFailed(error: StoreError) {
        log.belief("duty", "the lease was not written", "cause" to error, "token" to held?.fencingToken)
        val lease = held ?: return
        // An unclear outcome leaves the lease as it was; it ends by itself unless a later renewal is clear.
        if (error is StoreError.Conflict || !lease.mayAct(clocks.steady, clocks.wall)) {
            log.belief("duty", "the lease is lost", "token" to lease.fencingToken)
            held = null
        }
    }

    private fun recordOf(row: StoreRow): LeaseRecord? = try {
        val json = Json.decodeFromString(LeaseRow.serializer(), row.value.decodeToString())
        LeaseRecord(json.holder, json.token, json.expires)
    } catch (e: SerializationException) {
        log.belief("duty", "the lease row can't be read", "cause" to e.message)
        null
    }

    private companion object {
        const val TABLE = "duty"
        const val KEY = "lease"
        val CHECK_INTERVAL = 250.milliseconds

        /** A renewal is made this long before the holder would have to pause. */
        const val RENEW_AHEAD_MILLIS = 1_500L
        const val PATIENCE_MILLIS = 800L
        const val TURN_MILLIS = 400L
    }
}
