package org.berylpoint.entry.gateway.site

import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.peer.RowPart
import org.berylpoint.peer.RowsPart
import org.berylpoint.platform.store.StoreRow
import org.berylpoint.platform.store.StoreRows

/** Way on which changes of a table arrive; in log lines. */
internal enum class ChangeSource { FEED, POLL, FORWARDED, RELOAD }

/**
 * What this process has applied of one [table] of the store, and how much of it that is, on any thread.
 *
 * [replace] gets the rows of a complete read, [update] changed rows in the order of their revisions.
 */
internal class TableCopy(
    val table: String,
    private val log: DecisionLog,
    private val replace: (List<StoreRow>) -> Unit,
    private val update: (List<StoreRow>) -> Unit,
) {
    private val recentRows = RecentRows()

    /** Revision of each row that exists, by key. */
    private val rowRevisions = HashMap<String, Long>()

    /** Revision up to which the store has been read; counts writes to any table. */
    @Volatile
    var storeRevision = 0L
        private set

    /**
     * Revision up to which all changes of this table are applied, for comparison with other instances. Unlike
     * [storeRevision] it grows only if there may be a change that others lack.
     */
    @Volatile
    var rowRevision = 0L
        private set

    /** Whether the table has been read whole at least once. */
    @Volatile
    var wasLoaded = false
        private set

    /** Time on the store's clock up to which all changes of the table are applied; 0 while it is not known. */
    @Volatile
    var completeAsOfMillis = 0L
        private set

    /** Newest revision that a peer has applied. */
    @Volatile
    var peerRevision = 0L
        private set

    /** Whether a peer has applied a change that is missing here. */
    val isBehindPeers: Boolean get() = peerRevision > rowRevision

    /** Applies rows that a peer has sent. */
    @Synchronized
    fun applyForwarded(part: RowsPart) {
        // Writes to other tables count here: there was no change of this table between its last row and that revision.
        if (!wasLoaded || storeRevision < part.after) return
        val rows = part.rows.map { StoreRow(table, it.key, it.value, it.revision, it.isDeleted) }
        // A read at that revision has shown what became of the earlier rows; alone, one could undo a later deletion.
        val newRows = rows.filter { it.revision > storeRevision }
        logChanges(newRows, ChangeSource.FORWARDED)
        update(newRows)
        record(newRows)
        advanceRowRevision(rows)
        rowRevision = maxOf(rowRevision, part.upTo)
        storeRevision = maxOf(storeRevision, rowRevision)
    }

    /** Applies the answer to a call for the changes since [storeRevision]; returns [rowRevision] before. */
    @Synchronized
    fun applyChanges(changes: StoreRows, source: ChangeSource): Long {
        val before = rowRevision
        logChanges(changes.rows, source)
        update(changes.rows)
        record(changes.rows.filter { it.revision > rowRevision })
        advanceRowRevision(changes.rows)
        // The peer is ahead by a reload, not by a row.
        if (peerRevision in rowRevision..changes.revision) rowRevision = peerRevision
        storeRevision = maxOf(storeRevision, changes.revision)
        if (!changes.hasMore) completeAsOfMillis = maxOf(completeAsOfMillis, changes.clockMillis)
        return before
    }

    /** Applies a read of the whole table; false if it is older than what is applied, which it would revert. */
    @Synchronized
    fun applyReload(read: StoreRows): Boolean {
        if (read.revision < storeRevision) return false
        logChanges(read.rows, ChangeSource.RELOAD)
        replace(read.rows)
        recordReload(read)
        advanceRowRevision(read.rows)
        // A row that was deleted meanwhile shows only by its absence, and peers have to learn of that too.
        if (wasLoaded) rowRevision = read.revision
        storeRevision = read.revision
        completeAsOfMillis = maxOf(completeAsOfMillis, read.clockMillis)
        wasLoaded = true
        return true
    }

    /**
     * Records that a peer has applied all changes up to [revision], and knows of no later one up to [completeAsOf].
     * Returns false if changes are missing here that it has applied.
     */
    @Synchronized
    fun notePeer(revision: Long, completeAsOf: Long): Boolean {
        if (revision > rowRevision) {
            peerRevision = maxOf(peerRevision, revision)
            return false
        }
        if (wasLoaded) completeAsOfMillis = maxOf(completeAsOfMillis, completeAsOf)
        return true
    }

    /** The changes that a peer lacks which has applied all up to [revision], as far as known; null for none. */
    @Synchronized
    fun changesAfter(revision: Long): RowsPart? {
        if (revision >= rowRevision) return null
        val changes = recentRows.after(revision, newest = rowRevision) ?: return null
        return RowsPart(table, maxOf(revision, recentRows.completeAfter), partsOf(changes.rows), changes.upTo)
    }

    private fun record(changes: List<StoreRow>) {
        recentRows.add(changes)
        changes.forEach(::recordRevision)
    }

    /** Keeps what [read] has changed here, for peers that can't read it themselves. */
    private fun recordReload(read: StoreRows) {
        val changed = read.rows.filter { it.revision > (rowRevisions[it.key] ?: 0) }.sortedBy { it.revision }
        val deleted = (rowRevisions.keys - read.rows.map { it.key }.toSet())
            .map { StoreRow(table, it, ByteArray(0), read.revision, isDeleted = true) }
        if (wasLoaded) {
            recentRows.addReload(changed + deleted, storeRevision, read.revision)
        } else {
            recentRows.restart(read.revision)
        }
        (changed + deleted).forEach(::recordRevision)
    }

    private fun recordRevision(row: StoreRow) {
        if (row.isDeleted) rowRevisions.remove(row.key) else rowRevisions[row.key] = row.revision
    }

    private fun advanceRowRevision(rows: List<StoreRow>) {
        rowRevision = maxOf(rowRevision, rows.maxOfOrNull { it.revision } ?: 0)
    }

    private fun logChanges(rows: List<StoreRow>, source: ChangeSource) {
        if (rows.isEmpty()) return
        log.event(
            "site",
            "changes are applied",
            "table" to table,
            "source" to source.name.lowercase(),
            "rows" to rows.size,
            "revision" to rows.maxOf { it.revision },
            "before" to rowRevision,
        )
    }
}

/** The [rows] as they are sent to other instances. */
internal fun partsOf(rows: List<StoreRow>): List<RowPart> =
    rows.map { RowPart(it.key, it.value, it.revision, it.isDeleted) }
