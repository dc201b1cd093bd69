package org.berylpoint.entry.gateway.site

import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.peer.AwaitedPart
import org.berylpoint.peer.RowPart
import org.berylpoint.peer.RowsPart
import org.berylpoint.platform.store.StoreRevision
import org.berylpoint.platform.store.StoreRow
import org.berylpoint.platform.store.StoreRows

/** Way on which changes of a table arrive; in log lines. */
internal enum class ChangeSource { FEED, POLL, FORWARDED, RELOAD }

/**
 * What this process has applied of one [table] of the store, and how much of it that is, on any thread.
 *
 * [replace] gets the rows of a complete read with its revision, [update] changed rows in the order of their revisions.
 * A copy is of one era of the store; when that changes, the table has to be read anew, from the store or from a peer.
 */
internal class TableCopy(
    val table: String,
    private val log: DecisionLog,
    private val eras: StoreEras,
    private val replace: (List<StoreRow>, StoreRevision) -> Unit,
    private val update: (List<StoreRow>) -> Unit,
) {
    private val recentRows = RecentRows()

    /** The rows that exist, by key. */
    private val currentRows = HashMap<String, StoreRow>()

    /** Keys of rows that a restored store had as they were here before. */
    private val unchangedKeys = HashSet<String>()

    /** Whether a peer has left out values that are not known here. */
    private var needsAllValues = false

    /** What peers have sent of the table in a newer era. */
    private var incoming: IncomingSnapshot? = null

    /** Revision up to which the store has been read; counts writes to any table. */
    @Volatile
    var storeRevision = StoreRevision.NONE
        private set

    /**
     * Revision up to which all changes of this table are applied, for comparison with other instances. Unlike
     * [storeRevision] it grows only if there may be a change that others lack.
     */
    @Volatile
    var rowRevision = StoreRevision.NONE
        private set

    /** Whether the table has been read whole at least once. */
    @Volatile
    var wasLoaded = false
        private set

    /** Time on the store's clock of [era] up to which all changes of the table are applied; 0 while it is not known. */
    @Volatile
    var completeAsOfMillis = 0L
        private set

    /** Newest revision that a peer has applied. */
    @Volatile
    var peerRevision = StoreRevision.NONE
        private set

    /** Era of the store in which the table was read. */
    val era: Long get() = storeRevision.era

    /** Whether the table has been read whole in the newest era known. */
    val isCurrent: Boolean get() = wasLoaded && era == eras.current

    /** Whether a peer has applied a change that is missing here. */
    val isBehindPeers: Boolean get() = peerRevision > rowRevision

    /** What peers are to send of the newest era; null unless the copy is of an older one. */
    val awaited: AwaitedPart?
        @Synchronized get() {
            if (!wasLoaded || era >= eras.current) return null
            val after = incoming?.takeIf { it.era == eras.current }?.upTo ?: 0
            return AwaitedPart(after, if (needsAllValues) 0 else rowRevision.number)
        }

    /** Applies rows that a peer has sent; those of an older era are dropped. */
    @Synchronized
    fun applyForwarded(part: RowsPart) {
        if (!wasLoaded || part.era < era || part.era < eras.current) return
        if (part.era > era) return addToSnapshot(part)
        // Writes to other tables count here: there was no change of this table between its last row and that revision.
        if (part.isSnapshot || storeRevision.number < part.after) return
        val rows = rowsOf(part)
        // A read at that revision has shown what became of the earlier rows; alone, one could undo a later deletion.
        val newRows = rows.filter { it.revision > storeRevision }
        logChanges(newRows, ChangeSource.FORWARDED)
        update(newRows)
        record(newRows)
        advanceRowRevision(rows)
        rowRevision = maxOf(rowRevision, StoreRevision(era, part.upTo))
        storeRevision = maxOf(storeRevision, rowRevision)
    }

    private fun addToSnapshot(part: RowsPart) {
        if (!part.isSnapshot) return
        if (part.after == 0L) incoming = IncomingSnapshot(part.era)
        val snapshot = incoming?.takeIf { it.era == part.era && part.after <= it.upTo } ?: return
        val known = part.rows.filter { it.valueHash != null }.associate { it.key to currentRows[it.key] }
        val isUnknown = part.rows.any { it.valueHash != null && !isSame(it, known[it.key]) }
        if (isUnknown) {
            needsAllValues = true
            incoming = null
            return
        }
        val rows = rowsOf(part).map { row -> known[row.key]?.let { row.withValue(it.value) } ?: row }
        snapshot.add(rows, part.upTo)
        if (!part.isLast) return
        applyReload(StoreRows(snapshot.rows, StoreRevision(part.era, snapshot.upTo), part.completeAsOf))
    }

    /** Whether [part], which leaves out its value, is the row [known]. */
    private fun isSame(part: RowPart, known: StoreRow?): Boolean = known != null &&
        known.revision.number == part.revision &&
        known.value.contentHashCode() == part.valueHash

    private fun StoreRow.withValue(value: ByteArray) = StoreRow(table, key, value, revision, isDeleted)

    /**
     * Applies the answer to a call for the changes since [storeRevision], which is of the same era; returns
     * [rowRevision] before.
     */
    @Synchronized
    fun applyChanges(changes: StoreRows, source: ChangeSource): StoreRevision {
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
        if (read.revision < storeRevision || read.revision.era < eras.current) return false
        val isNewEra = read.revision.era > era
        logChanges(read.rows, ChangeSource.RELOAD)
        replace(read.rows, read.revision)
        if (isNewEra) completeAsOfMillis = 0
        recordReload(read, isNewEra)
        advanceRowRevision(read.rows)
        // A row that was deleted meanwhile shows only by its absence, and peers have to learn of that too.
        if (wasLoaded) rowRevision = read.revision
        storeRevision = read.revision
        completeAsOfMillis = maxOf(completeAsOfMillis, read.clockMillis)
        wasLoaded = true
        incoming = null
        needsAllValues = false
        return true
    }

    /**
     * Records that a peer has applied all changes up to [revision], and knows of no later one up to [completeAsOf].
     * Returns false if changes are missing here that it has applied. What a peer in an older era knows is ignored.
     */
    @Synchronized
    fun notePeer(revision: StoreRevision, completeAsOf: Long): Boolean {
        if (revision.era < era) return true
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
        if (!isCurrent || revision >= rowRevision.number) return null
        val changes = recentRows.after(revision, newest = rowRevision.number) ?: return null
        return RowsPart(table, maxOf(revision, recentRows.completeAfter), partsOf(changes.rows), changes.upTo, era)
    }

    /**
     * The rows that exist, as many of the oldest as one report holds, for a peer that [awaited] them; null while the
     * table is not read in the newest era. Values are left out that the peer has from the era before.
     */
    @Synchronized
    fun snapshotFor(awaited: AwaitedPart): RowsPart? {
        if (!isCurrent) return null
        val revision = awaited.after
        val known = { row: StoreRow -> row.key in unchangedKeys && row.revision.number <= awaited.appliedBefore }
        val later = currentRows.values.filter { it.revision.number > revision } + recentRows.deletedAfter(revision)
        val groups = later.groupBy { it.revision.number }.toSortedMap()
        val sent = ArrayList<StoreRow>()
        var bytes = 0
        for (group in groups.values) {
            // The rows of one transaction stay together, since the peer goes on after its number.
            bytes += group.sumOf { ROW_BYTES + if (known(it)) 0 else it.value.size }
            if (bytes > MAX_SNAPSHOT_BYTES && sent.isNotEmpty()) break
            sent += group
        }
        val isLast = sent.size == later.size
        val upTo = if (isLast) maxOf(rowRevision.number, revision) else sent.last().revision.number
        val parts = partsOf(sent).zip(sent) { part, row ->
            if (known(row)) part.copy(value = ByteArray(0), valueHash = row.value.contentHashCode()) else part
        }
        return RowsPart(
            table,
            revision,
            parts,
            upTo,
            era,
            isSnapshot = true,
            isLast,
            completeAsOf = completeAsOfMillis,
        )
    }

    private fun rowsOf(part: RowsPart) =
        part.rows.map { StoreRow(table, it.key, it.value, StoreRevision(part.era, it.revision), it.isDeleted) }

    private fun record(changes: List<StoreRow>) {
        recentRows.add(changes)
        unchangedKeys -= changes.map { it.key }.toSet()
        changes.forEach(::recordCurrent)
    }

    /** Keeps what [read] has changed here, for peers that can't read it themselves. */
    private fun recordReload(read: StoreRows, isNewEra: Boolean) {
        val changed = read.rows.filter { it.revision > (currentRows[it.key]?.revision ?: StoreRevision.NONE) }
            .sortedBy { it.revision }
        val deleted = (currentRows.keys - read.rows.map { it.key }.toSet())
            .map { StoreRow(table, it, ByteArray(0), read.revision, isDeleted = true) }
        if (wasLoaded && !isNewEra) {
            recentRows.addReload(changed + deleted, storeRevision.number, read.revision.number)
        } else {
            recentRows.restart(read.revision.number)
        }
        if (isNewEra) {
            unchangedKeys.clear()
            unchangedKeys += read.rows.filter { row ->
                val known = currentRows[row.key]
                known?.revision?.number == row.revision.number && known.value.contentEquals(row.value)
            }.map { it.key }
            currentRows.clear()
        }
        (changed + deleted).forEach(::recordCurrent)
    }

    private fun recordCurrent(row: StoreRow) {
        if (row.isDeleted) currentRows.remove(row.key) else currentRows[row.key] = row
    }

    private fun advanceRowRevision(rows: List<StoreRow>) {
        rowRevision = maxOf(rowRevision, rows.maxOfOrNull { it.revision } ?: StoreRevision.NONE)
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

    private companion object {
        /** Keeps a report with a snapshot's rows well below the size of a datagram. */
        const val MAX_SNAPSHOT_BYTES = 16_384

        /** Bytes of a row beside its value: key, revision and framing. */
        const val ROW_BYTES = 48
    }
}

/** What peers have sent of a table in [era], up to revision [upTo]. */
private class IncomingSnapshot(val era: Long) {
    private val byKey = LinkedHashMap<String, StoreRow>()

    var upTo = 0L
        private set

    val rows: List<StoreRow> get() = byKey.values.toList()

    fun add(rows: List<StoreRow>, upTo: Long) {
        for (row in rows) if (row.isDeleted) byKey.remove(row.key) else byKey[row.key] = row
        this.upTo = maxOf(this.upTo, upTo)
    }
}

/** The [rows] as they are sent to other instances. */
internal fun partsOf(rows: List<StoreRow>): List<RowPart> =
    rows.map { RowPart(it.key, it.value, it.revision.number, it.isDeleted) }
