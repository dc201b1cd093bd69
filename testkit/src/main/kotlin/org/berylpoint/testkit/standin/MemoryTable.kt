package org.berylpoint.testkit.standin

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import org.berylpoint.model.InstanceId
import org.berylpoint.platform.PlatformError
import org.berylpoint.platform.Row
import org.berylpoint.platform.RowKey
import org.berylpoint.platform.RowWrite
import org.berylpoint.platform.TableService

/**
 * The table service in memory: transactions with row versions and conditions.
 *
 * Like the published protocol it refuses a transaction that names a row twice or has more than 100 writes. A version
 * does not continue after a delete: the row starts at 1 again.
 */
public class MemoryTable(scope: CoroutineScope? = null, public val faults: Faults = Faults(scope)) : TableService {
    private val lock = Any()
    private val rows = mutableMapOf<RowKey, Row>()
    private var committed = 0L

    /** The table as [caller] sees it, with the faults set for that caller. */
    public fun caller(caller: InstanceId): TableService = View(caller)

    /** All rows, without faults and without counting. */
    public val content: Map<RowKey, Row> get() = synchronized(lock) { rows.toMap() }

    /** Transactions that took effect. */
    public val transactions: Long get() = synchronized(lock) { committed }

    override suspend fun get(key: RowKey): Either<PlatformError, Row?> = get(null, key)

    override suspend fun query(partition: String, after: String, limit: Int): Either<PlatformError, List<Row>> =
        query(null, partition, after, limit)

    override suspend fun transact(writes: List<RowWrite>): Either<PlatformError, Unit> = transact(null, writes)

    private suspend fun get(caller: InstanceId?, key: RowKey): Either<PlatformError, Row?> =
        faults.apply(StandInCall("get", false, caller)) { synchronized(lock) { rows[key] }.right() }

    private suspend fun query(caller: InstanceId?, partition: String, after: String, limit: Int) =
        faults.apply(StandInCall("query", false, caller)) { select(partition, after, limit).right() }

    private suspend fun transact(caller: InstanceId?, writes: List<RowWrite>) =
        faults.apply(StandInCall("transact", true, caller)) { commit(writes) }

    private fun select(partition: String, after: String, limit: Int): List<Row> = synchronized(lock) {
        rows.values
            .filter { it.key.partition == partition && it.key.sort > after }
            .sortedBy { it.key.sort }
            .take(limit)
    }

    private fun commit(writes: List<RowWrite>): Either<PlatformError, Unit> = synchronized(lock) {
        if (writes.isEmpty() || writes.size > TableService.MAX_WRITES) {
            return PlatformError.Invalid("${writes.size} writes in a transaction").left()
        }
        if (writes.distinctBy { it.key }.size < writes.size) {
            return PlatformError.Invalid("a transaction names a row twice").left()
        }
        val failed = writes.indices.filterNot { holds(writes[it]) }
        if (failed.isNotEmpty()) return PlatformError.ConditionFailed(failed).left()
        writes.forEach(::write)
        committed++
        Unit.right()
    }

    private fun holds(write: RowWrite): Boolean {
        val expected = when (write) {
            is RowWrite.Put -> write.expected
            is RowWrite.Delete -> write.expected
            is RowWrite.Check -> write.expected
        }
        return expected == null || expected == (rows[write.key]?.version ?: 0L)
    }

    private fun write(write: RowWrite) {
        when (write) {
            is RowWrite.Put -> rows[write.key] = Row(write.key, (rows[write.key]?.version ?: 0L) + 1, write.value)
            is RowWrite.Delete -> rows.remove(write.key)
            is RowWrite.Check -> Unit
        }
    }

    private inner class View(private val caller: InstanceId) : TableService {
        override suspend fun get(key: RowKey) = get(caller, key)

        override suspend fun query(partition: String, after: String, limit: Int) =
            query(caller, partition, after, limit)

        override suspend fun transact(writes: List<RowWrite>) = transact(caller, writes)
    }
}
