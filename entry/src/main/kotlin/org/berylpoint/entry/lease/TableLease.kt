package org.berylpoint.entry.lease

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.berylpoint.entry.node.NodeContext
import org.berylpoint.model.InstanceId
import org.berylpoint.platform.PlatformError
import org.berylpoint.platform.Row
import org.berylpoint.platform.RowKey
import org.berylpoint.platform.RowWrite
import org.berylpoint.platform.TableService
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/**
 * A lease on a shared action, stored as row `lease/<name>` with a fencing number that increases with each new tenure.
 *
 * The protocol does not compare clocks. The holder measures [DURATION] from before it sends a renewal and stops acting
 * [SAFETY_MARGIN] earlier. Other instances acquire the lease once they have seen the row unchanged for [DURATION]. That
 * time ends later than the holder's, because they first read the row after the renewal.
 *
 * ```
 * lease.fencingNumber()?.let { number -> engine.order(number) }
 * ```
 */
public class TableLease(private val context: NodeContext, private val table: TableService, public val name: String) {
    private val key = RowKey("lease", name)
    private val mutex = Mutex()
    private var tenure: Tenure? = null
    private var observed: ObservedVersion? = null

    /** Recent writes that may have taken effect: the time before sending, by token. */
    private val pendingWrites = mutableMapOf<String, ComparableTimeMark>()

    private data class Tenure(val fence: Long, val version: Long, val renewedAt: ComparableTimeMark)

    private data class ObservedVersion(val version: Long, val firstAt: ComparableTimeMark)

    @Serializable
    internal data class LeaseRecord(val holder: InstanceId?, val fence: Long, val token: String)

    /** The fencing number while this instance may act under the lease, else null. Check it before each action. */
    public fun fencingNumber(): Long? = tenure?.takeIf { it.renewedAt.elapsedNow() < DURATION - SAFETY_MARGIN }?.fence

    /** Starts to compete for the lease and to renew it while this instance holds it. */
    public fun start() {
        context.scope.launch {
            while (isActive) {
                val start = context.time.markNow()
                acquireOrRenew()
                delay(RENEWAL_INTERVAL - start.elapsedNow())
            }
        }
    }

    /** Tries once to acquire or renew the lease; [start] does so regularly. */
    public suspend fun acquireOrRenew(): Unit = mutex.withLock {
        val row = table.get(key).getOrElse { return }
        val record = row?.decode()
        updateTenure(row, record)
        val version = row?.version ?: 0
        val current = tenure
        when {
            current != null -> write(version, current.fence)
            record?.holder == null || isExpired(version) -> write(version, (record?.fence ?: 0) + 1)
        }
    }

    /** Releases the lease, so that another instance need not wait for its expiry. */
    public suspend fun release(): Unit = mutex.withLock {
        val current = tenure ?: return
        tenure = null
        val record = LeaseRecord(null, current.fence, newToken())
        table.transact(listOf(RowWrite.Put(key, encode(record), current.version)))
    }

    /** Updates the own tenure from the row; a write whose response was lost is recognised by its token. */
    private fun updateTenure(row: Row?, record: LeaseRecord?) {
        if (row == null || record == null) return
        if (observed?.version != row.version) observed = ObservedVersion(row.version, context.time.markNow())
        val renewedAt = pendingWrites[record.token]
        if (record.holder == context.self.id && renewedAt != null) {
            if (tenure?.version != row.version) tenure = Tenure(record.fence, row.version, renewedAt)
        } else {
            if (tenure != null) log.warn { "lease: lost $name; the holder is now ${record.holder}" }
            tenure = null
        }
    }

    private fun isExpired(version: Long): Boolean =
        observed?.let { it.version == version && it.firstAt.elapsedNow() >= DURATION } ?: false

    private suspend fun write(version: Long, fence: Long) {
        val record = LeaseRecord(context.self.id, fence, newToken())
        val start = context.time.markNow()
        pendingWrites.values.removeAll { it.elapsedNow() > DURATION }
        pendingWrites[record.token] = start
        val result = table.transact(listOf(RowWrite.Put(key, encode(record), version)))
        if (result.isRight()) {
            if (tenure?.fence != fence) log.info { "lease: acquired $name with fencing number $fence" }
            tenure = Tenure(fence, version + 1, start)
        } else if (result.leftOrNull() is PlatformError.NoAnswer) {
            // Without this read, the renewal would be recognised only at the next attempt, within the safety margin.
            table.get(key).getOrNull()?.let { updateTenure(it, it.decode()) }
        }
    }

    private fun Row.decode(): LeaseRecord = Json.decodeFromString(LeaseRecord.serializer(), value)

    private fun newToken(): String = "%016x".format(context.random.nextLong())

    private fun encode(record: LeaseRecord): String = Json.encodeToString(LeaseRecord.serializer(), record)

    public companion object {
        /** Time from a renewal until the lease expires. */
        public val DURATION: Duration = 10.seconds

        /** Time between renewals. */
        public val RENEWAL_INTERVAL: Duration = 3.seconds

        /** Time before the expiry during which the holder does not act. */
        public val SAFETY_MARGIN: Duration = 2.seconds
    }
}
