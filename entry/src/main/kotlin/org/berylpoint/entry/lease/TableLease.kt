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
 * A lease on a shared action, as row `lease/<name>` with a fencing number that grows with each change of holder.
 *
 * Clocks are not compared. The holder counts [DURATION] from before it sent the write that renewed the lease and stops
 * acting [MARGIN] earlier. Others take the lease over when they have seen the row unchanged for [DURATION], which
 * ends later, because they read it after that write.
 *
 * ```
 * lease.fence()?.let { number -> engine.order(number) }
 * ```
 */
public class TableLease(private val context: NodeContext, private val table: TableService, public val name: String) {
    private val key = RowKey("lease", name)
    private val mutex = Mutex()
    private var tenure: Tenure? = null
    private var seen: Seen? = null

    /** Renewals sent and not known to have failed, by their token, with the time before sending. */
    private val sent = mutableMapOf<String, ComparableTimeMark>()

    private data class Tenure(val fence: Long, val version: Long, val renewedAt: ComparableTimeMark)

    private data class Seen(val version: Long, val firstAt: ComparableTimeMark)

    @Serializable
    internal data class LeaseRecord(val holder: InstanceId?, val fence: Long, val token: String)

    /** The fencing number while this instance may act under the lease; null at any other time. Ask before each act. */
    public fun fence(): Long? = tenure?.takeIf { it.renewedAt.elapsedNow() < DURATION - MARGIN }?.fence

    /** Starts to compete for the lease and to renew it while it is held. */
    public fun start() {
        context.scope.launch {
            while (isActive) {
                val start = context.time.markNow()
                attempt()
                delay(RENEWAL - start.elapsedNow())
            }
        }
    }

    /** Tries once to take or renew the lease; [start] does so regularly. */
    public suspend fun attempt(): Unit = mutex.withLock {
        val row = table.get(key).getOrElse { return }
        val record = row?.decode()
        adopt(row, record)
        val version = row?.version ?: 0
        val current = tenure
        when {
            current != null -> write(version, current.fence)
            record?.holder == null || isExpired(version) -> write(version, (record?.fence ?: 0) + 1)
        }
    }

    /** Gives the lease up at once, so that another instance need not wait for its expiry. */
    public suspend fun release(): Unit = mutex.withLock {
        val current = tenure ?: return
        tenure = null
        val record = LeaseRecord(null, current.fence, newToken())
        table.transact(listOf(RowWrite.Put(key, encode(record), current.version)))
    }

    /** Brings the own tenure up to date with the row: a write whose answer was lost is recognised by its token. */
    private fun adopt(row: Row?, record: LeaseRecord?) {
        if (row == null || record == null) return
        if (seen?.version != row.version) seen = Seen(row.version, context.time.markNow())
        val renewedAt = sent[record.token]
        if (record.holder == context.self.id && renewedAt != null) {
            if (tenure?.version != row.version) tenure = Tenure(record.fence, row.version, renewedAt)
        } else {
            if (tenure != null) log.warn { "lease: $name is held by ${record.holder} now" }
            tenure = null
        }
    }

    private fun isExpired(version: Long): Boolean =
        seen?.let { it.version == version && it.firstAt.elapsedNow() >= DURATION } ?: false

    private suspend fun write(version: Long, fence: Long) {
        val record = LeaseRecord(context.self.id, fence, newToken())
        val start = context.time.markNow()
        sent.values.removeAll { it.elapsedNow() > DURATION }
        sent[record.token] = start
        val result = table.transact(listOf(RowWrite.Put(key, encode(record), version)))
        if (result.isRight()) {
            if (tenure?.fence != fence) log.info { "lease: $name is held here with fencing number $fence" }
            tenure = Tenure(fence, version + 1, start)
        } else if (result.leftOrNull() is PlatformError.NoAnswer) {
            // Without this reading the renewal would count only from the next attempt on, after the margin has begun.
            table.get(key).getOrNull()?.let { adopt(it, it.decode()) }
        }
    }

    private fun Row.decode(): LeaseRecord = Json.decodeFromString(LeaseRecord.serializer(), value)

    private fun newToken(): String = "%016x".format(context.random.nextLong())

    private fun encode(record: LeaseRecord): String = Json.encodeToString(LeaseRecord.serializer(), record)

    public companion object {
        /** Time from a renewal to the expiry of the lease. */
        public val DURATION: Duration = 10.seconds

        /** Time between renewals. */
        public val RENEWAL: Duration = 3.seconds

        /** Time before the expiry from which the holder does not act. */
        public val MARGIN: Duration = 2.seconds
    }
}
