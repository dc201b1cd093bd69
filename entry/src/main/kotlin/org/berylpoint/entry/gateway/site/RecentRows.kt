package org.berylpoint.entry.gateway.site

import org.berylpoint.platform.store.StoreRow

/** Changes of a table after some revision: all of them up to [upTo]. */
internal class RowChanges(val rows: List<StoreRow>, val upTo: Long)

/**
 * The newest changes of one table, in the order of their revisions, for peers that can't read them from the store. All
 * are of one era of the store.
 */
internal class RecentRows {
    private val rows = ArrayDeque<StoreRow>()

    /**
     * Spans of revisions that a read of the whole table has skipped. A row that came and went within one is not among
     * [rows], so what a peer lacks that has applied a part of the span can't be told.
     */
    private var skipped = emptyList<LongRange>()

    /** All changes after this revision are in [rows], but for those in [skipped]. */
    var completeAfter = 0L
        private set

    /** Adds changes that are newer than all added before. */
    fun add(changes: List<StoreRow>) {
        rows += changes
        while (rows.size > MAX_ROWS) completeAfter = rows.removeFirst().revision.number
    }

    /** Adds what a read of the whole table at [revision] has changed here, where all up to [before] was known. */
    fun addReload(changes: List<StoreRow>, before: Long, revision: Long) {
        add(changes)
        skipped = skipped.filter { it.last > completeAfter }
            .plusElement(before + 1 until revision)
            .takeLast(MAX_SKIPPED)
        if (skipped.size == MAX_SKIPPED) completeAfter = maxOf(completeAfter, skipped.first().first - 1)
    }

    /** Forgets all changes: the table was read for the first time, or in a new era, as of [revision]. */
    fun restart(revision: Long) {
        rows.clear()
        skipped = emptyList()
        completeAfter = revision
    }

    /**
     * The changes after [revision] as of [newest], as many of the oldest as [MAX_BYTES] hold; null if they are not
     * known. Changes up to [completeAfter] are not among them.
     */
    fun after(revision: Long, newest: Long): RowChanges? {
        if (skipped.any { revision in it }) return null
        var bytes = 0
        val later = rows.filter { it.revision.number > revision }
        val sent = later.takeWhile {
            bytes += it.value.size
            bytes <= MAX_BYTES
        }
        return when {
            sent.size == later.size -> RowChanges(sent, newest)
            sent.isEmpty() -> null
            else -> RowChanges(sent, sent.last().revision.number)
        }
    }

    /** Rows deleted after [revision], as far as their deletions are among the newest changes. */
    fun deletedAfter(revision: Long): List<StoreRow> = rows.filter { it.isDeleted && it.revision.number > revision }

    private companion object {
        const val MAX_ROWS = 200
        const val MAX_SKIPPED = 16

        /** Keeps a report with these rows well below the size of a datagram. */
        const val MAX_BYTES = 16_384
    }
}
