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

/** A record with the version of its row. */
internal data class StoredRecord(val record: OnceRecord, val version: Long)

/** Reads and writes the rows of at-most-once records, each step conditional on the row's version. */
internal class OnceStore(private val table: TableService, private val random: Random) {
    /** The record of [key], or null when there is none. */
    suspend fun read(key: KeyOf): Either<PlatformError, StoredRecord?> =
        table.get(OnceRecord.keyOf(key)).map { row -> row?.let { StoredRecord(OnceRecord.decode(it), it.version) } }

    /** Puts a record in state accepted over the row's version [expected], and moves the index row from [previous]. */
    suspend fun accept(
        key: KeyOf,
        record: OnceRecord,
        expected: Long,
        previous: InstanceId? = null,
    ): Either<PlatformError, Unit> {
        val index = RowWrite.Put(OnceRecord.indexKeyOf(record.holder.id, key), OnceRecord.encodeIndex(key), null)
        val move = previous?.takeIf { it != record.holder.id }?.let { RowWrite.Delete(OnceRecord.indexKeyOf(it, key)) }
        return table.transact(listOfNotNull(put(key, record, expected), index, move))
    }

    /** Puts a later step of a record; one that ends it also deletes the index row. */
    suspend fun advance(key: KeyOf, record: OnceRecord, expected: Long): Either<PlatformError, Unit> {
        val ends = when (record.state) {
            OnceRecord.State.Accepted, is OnceRecord.State.Dispatched -> false
            is OnceRecord.State.Done, OnceRecord.State.Unknown, OnceRecord.State.Released -> true
        }
        val index = RowWrite.Delete(OnceRecord.indexKeyOf(record.holder.id, key)).takeIf { ends }
        return table.transact(listOfNotNull(put(key, record, expected), index))
    }

    /**
     * Advances the record that [held] is the last known state of to [state], until it is confirmed; null when another
     * instance has taken it over. A step whose answer is lost is recognised by its token; a late one of the same
     * tenure is built upon.
     */
    suspend fun advanceUntilStored(key: KeyOf, held: StoredRecord, state: OnceRecord.State): StoredRecord? {
        val step = newToken()
        var known = held
        var pause = MIN_RETRY_DELAY
        while (true) {
            val next = known.record.copy(state = state, step = step)
            when (advance(key, next, known.version).leftOrNull()) {
                null -> return StoredRecord(next, known.version + 1)
                is PlatformError.Invalid -> return null
                is PlatformError.Unavailable -> Unit
                is PlatformError.ConditionFailed, is PlatformError.NoAnswer -> {
                    val found = read(key).getOrNull()
                    when {
                        found == null -> Unit
                        found.record.step == step -> return found
                        found.record.tenure == held.record.tenure -> known = found
                        else -> return null
                    }
                }
            }
            delay(pause)
            pause = minOf(pause * 2, MAX_RETRY_DELAY)
        }
    }

    /** Deletes the index row of a record that [holder] no longer has to run. */
    suspend fun deleteIndex(holder: InstanceId, key: KeyOf): Either<PlatformError, Unit> =
        table.transact(listOf(RowWrite.Delete(OnceRecord.indexKeyOf(holder, key))))

    /** The keys that [holder] has accepted and not done, from [after] on; each with its sort key. */
    suspend fun listUnfinishedKeys(holder: InstanceId, after: String): Either<PlatformError, List<Pair<String, KeyOf>>> =
        table.query(OnceRecord.indexPartition(holder), after).map { rows ->
            rows.map { it.key.sort to OnceRecord.decodeIndex(it) }
        }

    /** A token that no other write contains. */
    fun newToken(): String = "%016x".format(random.nextLong()) + "%016x".format(random.nextLong())

    private fun put(key: KeyOf, record: OnceRecord, expected: Long) =
        RowWrite.Put(OnceRecord.keyOf(key), record.encode(), expected)

    companion object {
        val MIN_RETRY_DELAY: Duration = 50.milliseconds
        val MAX_RETRY_DELAY: Duration = 1.seconds
    }
}
