package org.berylpoint.entry.gateway.site

import org.berylpoint.platform.store.StoreRow

/** The newest changes of one table, in the order of their revisions, for peers that can't read them from the store. */
internal class RecentRows {
    private val rows = ArrayDeque<StoreRow>()

    /** All changes after this revision are in [rows]. */
    var completeAfter = 0L
        private set

    /** Adds changes that are newer than all added before. */
    fun add(changes: List<StoreRow>) {
        rows += changes
        while (rows.size > MAX_ROWS) completeAfter = rows.removeFirst().revision
    }

    /** Forgets all changes: the table was read whole as of [revision], so that changes before it are not known. */
    fun restart(revision: Long) {
        rows.clear()
        completeAfter = revision
    }

    /**
     * The known changes after [revision], as many of the oldest as [MAX_BYTES] hold; null if there are none. Changes up
     * to [completeAfter] are not among them.
     */
    fun after(revision: Long): List<StoreRow>? {
        var bytes = 0
        return rows.filter { it.revision > revision }
            .takeWhile {
                bytes += it.value.size
                bytes <= MAX_BYTES
            }
            .ifEmpty { null }
    }

    private companion object {
        const val MAX_ROWS = 200

        /** Keeps a report with these rows well below the size of a datagram. */
        const val MAX_BYTES = 16_384
    }
}
