package org.berylpoint.entry.gateway.site

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.berylpoint.platform.store.StoreError
import org.berylpoint.platform.store.StoreRow
import org.berylpoint.platform.store.StoreRows
import org.berylpoint.platform.store.TableReader
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The tables of the store in virtual time, with the faults that tests cause. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class FakeTables(private val scope: TestScope) {
    private val rows = LinkedHashMap<Pair<String, String>, StoreRow>()
    private val history = ArrayList<StoreRow>()
    private var revision = 0L
    private var historyStart = 0L
    private var cuts = 0

    /** Whether feeds deliver nothing. */
    var isSilent = false

    /** Instances whose calls fail. */
    val rejected = mutableSetOf<String>()

    /** Instances that get their answers late, as when they are short of processor time. */
    val starved = mutableSetOf<String>()

    /** The store's steady clock, which runs ahead of those of the instances. */
    private val clockMillis: Long get() = scope.currentTime + CLOCK_OFFSET_MILLIS

    fun put(table: String, key: String, value: ByteArray) = apply(StoreRow(table, key, value, ++revision))

    fun delete(table: String, key: String) = apply(StoreRow(table, key, ByteArray(0), ++revision, isDeleted = true))

    /** Drops the history of all tables and cuts the feeds. */
    fun dropHistory() {
        historyStart = revision
        history.clear()
        cuts++
    }

    private fun apply(row: StoreRow) {
        history += row
        if (row.isDeleted) rows.remove(row.table to row.key) else rows[row.table to row.key] = row
    }

    /** The store as [instance] reaches it. */
    fun reader(instance: String): TableReader = object : TableReader {
        override suspend fun read(table: String): Either<StoreError, StoreRows> {
            delay(if (instance in starved) STARVED_CALL_TIME else CALL_TIME)
            if (instance in rejected) return REJECTION.left()
            return StoreRows(rows.values.filter { it.table == table }, revision, clockMillis).right()
        }

        override suspend fun changes(table: String, revision: Long, wait: Duration): Either<StoreError, StoreRows> {
            delay(if (instance in starved) STARVED_CALL_TIME else CALL_TIME)
            val deadline = scope.currentTime + wait.inWholeMilliseconds
            val cutsAtStart = cuts
            while (true) {
                if (instance in rejected) return REJECTION.left()
                if (cuts != cutsAtStart) return StoreError.Unknown("connection reset").left()
                if (!isSilent && revision < historyStart) return StoreError.HistoryGone.left()
                val changed = history.filter { it.table == table && it.revision > revision }
                if (!isSilent && (changed.isNotEmpty() || scope.currentTime >= deadline)) {
                    return StoreRows(changed, this@FakeTables.revision, clockMillis).right()
                }
                if (scope.currentTime >= deadline) return StoreRows(emptyList(), revision, clockMillis).right()
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
