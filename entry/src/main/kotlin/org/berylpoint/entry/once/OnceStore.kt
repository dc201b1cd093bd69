package org.berylpoint.entry.once

import arrow.core.Either
import kotlinx.coroutines.delay
import org.berylpoint.model.InstanceId
import org.berylpoint.peer.KeyOf
import org.berylpoint.platform.PlatformError
import org.berylpoint.platform.RowWrite
import org.berylpoint.platform.TableService
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A record and the version of its row. */
internal data class StoredRecord(val record: OnceRecord, val version: Long)

/** Reads and writes the rows of at-most-once records. Each write of a record is conditional on the row's version. */
internal class OnceStore(private val table: TableService, private val random: Random) {
    /** Returns the record of [key], or null if there is none. */
    suspend fun read(key: KeyOf): Either<PlatformError, StoredRecord?> =
        table.get(OnceRecord.keyOf(key)).map { row -> row?.let { StoredRecord(OnceRecord.decode(it), it.version) } }

    /**
     * Writes [record] in state accepted, on condition that the row has version [expected], and adds its index row; the
     * index row of the [previous] holder is deleted in the same transaction.
     */
    suspend fun accept(
        key: KeyOf,
        record: OnceRecord,
        expected: Long,
        previous: InstanceId? = null,
    ): Either<PlatformError, Unit> {
        val index = RowWrite.Put(OnceRecord.indexKeyOf(record.holder.id, key), OnceRecord.encodeIndex(key), null)
        val previousIndex = previous?.takeIf { it != record.holder.id }?.let {
            RowWrite.Delete(OnceRecord.indexKeyOf(it, key))
        }
        return table.transact(listOfNotNull(put(key, record, expected), index, previousIndex))
    }

    /** Writes a later state of a record over the version [expected]; a final state also deletes the index row. */
    suspend fun advance(key: KeyOf, record: OnceRecord, expected: Long): Either<PlatformError, Unit> {
        val isFinal = when (record.state) {
            OnceRecord.State.Accepted, is OnceRecord.State.Dispatched -> false
            is OnceRecord.State.Done, OnceRecord.State.Unknown, OnceRecord.State.Released -> true
        }
        val index = RowWrite.Delete(OnceRecord.indexKeyOf(record.holder.id, key)).takeIf { isFinal }
        return table.transact(listOfNotNull(put(key, record, expected), index))
    }

    /**
     * Writes [state] over [held], the last state known here, and retries until the write is confirmed. Returns null if
     * another instance has taken the record over or the table service rejects the write as invalid. A write whose
     * response was lost is recognised by its token; if a delayed write of the same tenure took effect in between, the
     * next attempt builds on it.
     */
    suspend fun advanceUntilStored(key: KeyOf, held: StoredRecord, state: OnceRecord.State): StoredRecord? {
        val step = newToken()
        var latest = held
        var retryDelay = MIN_RETRY_DELAY
        while (true) {
            val next = latest.record.copy(state = state, step = step)
            when (advance(key, next, latest.version).leftOrNull()) {
                null -> return StoredRecord(next, latest.version + 1)
                is PlatformError.Invalid -> return null
                is PlatformError.Unavailable -> Unit
                is PlatformError.ConditionFailed, is PlatformError.NoAnswer -> {
                    val found = read(key).getOrNull()
                    when {
                        found == null -> Unit
                        found.record.step == step -> return found
                        found.record.tenure == held.record.tenure -> latest = found
                        else -> return null
                    }
                }
            }
            delay(retryDelay)
            retryDelay = minOf(retryDelay * 2, MAX_RETRY_DELAY)
        }
    }

    /** Deletes the index row of a record that [holder] need not run any more. */
    suspend fun deleteIndex(holder: InstanceId, key: KeyOf): Either<PlatformError, Unit> =
        table.transact(listOf(RowWrite.Delete(OnceRecord.indexKeyOf(holder, key))))

    /** Returns a page of the unfinished keys of [holder] that follow the sort key [after], each with its sort key. */
    suspend fun listUnfinishedKeys(
        holder: InstanceId,
        after: String,
    ): Either<PlatformError, List<Pair<String, KeyOf>>> =
        table.query(OnceRecord.indexPartition(holder), after).map { rows ->
            rows.map { it.key.sort to OnceRecord.decodeIndex(it) }
        }

    /** Returns a random token that identifies one write. */
    fun newToken(): String = "%016x".format(random.nextLong()) + "%016x".format(random.nextLong())

    private fun put(key: KeyOf, record: OnceRecord, expected: Long) =
        RowWrite.Put(OnceRecord.keyOf(key), record.encode(), expected)

    companion object {
        val MIN_RETRY_DELAY: Duration = 50.milliseconds
        val MAX_RETRY_DELAY: Duration = 1.seconds
    }
}
