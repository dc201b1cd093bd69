package org.berylpoint.entry.gateway.site

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.berylpoint.platform.store.StoreError
import org.berylpoint.platform.store.StoreRevision
import org.berylpoint.platform.store.StoreRow
import org.berylpoint.platform.store.StoreRows
import org.berylpoint.platform.store.TableReader
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The tables of the store in virtual time, with the faults that tests cause; it names no era while [era] is 0. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class FakeTables(private val scope: TestScope, private var era: Long = 0) {
    private class Stored(
        val table: String,
        val key: String,
        val value: ByteArray,
        val number: Long,
        val isDeleted: Boolean,
    )

    /** The store as it was at some time. */
    class Backup internal constructor(internal val restore: () -> Unit)

    private val rows = LinkedHashMap<Pair<String, String>, Stored>()
    private val history = ArrayList<Stored>()
    private var revision = 0L
    private var historyStart = 0L
    private var cuts = 0
    private var clockOffsetMillis = CLOCK_OFFSET_MILLIS

    /** Whether feeds deliver nothing. */
    var isSilent = false

    /** Whether the store refuses the calls of all. */
    var isAway = false
        set(value) {
            field = value
            cuts++
        }

    /** Instances whose calls fail. */
    val rejected = mutableSetOf<String>()

    /** Instances that get their answers late, as when they are short of processor time. */
    val starved = mutableSetOf<String>()

    /** The store's steady clock, which runs ahead of those of the instances. */
    private val clockMillis: Long get() = scope.currentTime + clockOffsetMillis

    fun put(table: String, key: String, value: ByteArray) = apply(Stored(table, key, value, ++revision, false))

    fun delete(table: String, key: String) = apply(Stored(table, key, ByteArray(0), ++revision, true))

    fun has(table: String, key: String): Boolean = (table to key) in rows

    /** Drops the history of all tables and cuts the feeds. */
    fun dropHistory() {
        historyStart = revision
        history.clear()
        cuts++
    }

    /** Makes a copy of the store, to [restore] it from. */
    fun backup(): Backup {
        val savedRows = LinkedHashMap(rows)
        val savedHistory = ArrayList(history)
        val savedRevision = revision
        return Backup {
            rows.clear()
            rows.putAll(savedRows)
            history.clear()
            history.addAll(savedHistory)
            revision = savedRevision
        }
    }

    /** Restores the store from [backup]: the next era begins, the feeds are cut, and its clock steps by some time. */
    fun restore(backup: Backup, clockStepMillis: Long = 0) {
        backup.restore()
        era++
        cuts++
        clockOffsetMillis += clockStepMillis
    }

    private fun apply(row: Stored) {
        history += row
        if (row.isDeleted) rows.remove(row.table to row.key) else rows[row.table to row.key] = row
    }

    private fun revisionOf(number: Long) = StoreRevision(era, number)

    private fun answer(rows: List<Stored>, number: Long) = StoreRows(
        rows.map { StoreRow(it.table, it.key, it.value, revisionOf(it.number), it.isDeleted) },
        revisionOf(number),
        clockMillis,
    ).right()

    /** The store as [instance] reaches it. */
    fun reader(instance: String): TableReader = object : TableReader {
        override suspend fun read(table: String): Either<StoreError, StoreRows> {
            delay(if (instance in starved) STARVED_CALL_TIME else CALL_TIME)
            if (isAway || instance in rejected) return REJECTION.left()
            return answer(rows.values.filter { it.table == table }, revision)
        }

        override suspend fun changes(
            table: String,
            revision: StoreRevision,
            wait: Duration,
        ): Either<StoreError, StoreRows> {
            delay(if (instance in starved) STARVED_CALL_TIME else CALL_TIME)
            val deadline = scope.currentTime + wait.inWholeMilliseconds
            val cutsAtStart = cuts
            val after = revision.number
            while (true) {
                if (isAway || instance in rejected) return REJECTION.left()
                if (cuts != cutsAtStart) return StoreError.Unknown("connection reset").left()
                val isUnknown = after < historyStart || after > this@FakeTables.revision
                if (!isSilent && isUnknown) return StoreError.HistoryGone.left()
                val changed = history.filter { it.table == table && it.number > after }
                if (!isSilent && (changed.isNotEmpty() || scope.currentTime >= deadline)) {
                    return answer(changed, this@FakeTables.revision)
                }
                if (scope.currentTime >= deadline) return answer(emptyList(), after)
                delay(CALL_TIME)
            }
        }
    }

    private companion object {
        const val CLOCK_OFFSET_MILLIS = 1_000_000L
        val CALL_TIME = 5.milliseconds
        val STARVED_CALL_TIME = 3.seconds
        val REJECTION = StoreError.NotDone("status 503")
    }
}
