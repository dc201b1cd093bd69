package org.berylpoint.entry.gateway.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.restarting
import org.berylpoint.peer.AwaitedPart
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.RowPart
import org.berylpoint.peer.RowsPart
import org.berylpoint.platform.store.StoreRevision
import org.berylpoint.platform.store.StoreRow
import org.berylpoint.platform.store.TableReader
import org.berylpoint.platform.wire.StoreNames
import kotlin.time.Duration.Companion.milliseconds

/**
 * Keeps [state] up to date with the store.
 *
 * In each failure domain one instance reads the tables' feeds and forwards changed rows to the others. An instance that
 * lacks rows all the same gets them from a peer, again and again until its reports show that it has them. It also polls
 * the store itself when a peer has applied a newer row than it has, and at a long interval in any case.
 */
public class StoreWatcher(
    private val store: TableReader,
    private val clock: StoreClock,
    private val state: SiteState,
    private val log: DecisionLog,
    private val feedReaders: FeedReaderSelection,
    private val eras: StoreEras,
) {
    private val copies = listOf(
        TableCopy(StoreNames.OPERATORS, log, eras, state::replaceOperatorRows, state::updateOperatorRows),
        TableCopy(StoreNames.SERVERS, log, eras, state::replaceServerRows, state::updateServerRows),
    )
    private var nextBulkAtMillis = Long.MIN_VALUE
    private val feeds = copies.map { TableFeed(it, store, clock, eras, feedReaders, log, state::recordStoreFailure) }

    /**
     * Revision of the newest row applied in the newest era of the store, by table; tables that have not been read in it
     * are missing.
     */
    public val revisions: Map<String, Long>
        get() = copiesOf(eras.current).associate { it.table to it.rowRevision.number }

    /** Time on the store's clock up to which all changes are applied, by table; as for [revisions]. */
    public val completeAsOfMillis: Map<String, Long>
        get() = copiesOf(eras.current).associate { it.table to it.completeAsOfMillis }

    private fun copiesOf(era: Long) = copies.filter { it.wasLoaded && it.era == era }

    /** How long ago the view was known to be complete, at most; null before all tables were read. */
    public val viewAgeMillis: Long?
        get() {
            if (!copies.all { it.wasLoaded }) return null
            return copies.maxOf { (clock.nowMillis(it.era) ?: return null) - it.completeAsOfMillis }
        }

    /** Whether a peer has applied a change that is missing here. */
    public val isBehindPeers: Boolean get() = copies.any { it.isBehindPeers }

    /** Whether the store does not serve this instance, so that it depends on its peers for changes. */
    public val isCutOff: Boolean get() = feeds.any { it.isCutOff }

    /** Runs until [scope] ends. */
    public fun start(scope: CoroutineScope): Job = scope.launch {
        for (feed in feeds) launch { restarting(log, "feed ${feed.copy.table}") { feed.run() } }
        launch {
            while (true) {
                delay(MISSING_CHECK_INTERVAL)
                state.removeMissingServers()
                state.settleRestoredRows()
            }
        }
    }

    /** Adds to [report] what peers need to know of the eras of the store. */
    public fun addTo(report: NodeReport): NodeReport {
        // Revisions of a newer era must not be taken for those of this one.
        val era = eras.current
        return report.copy(
            // Read before the revisions: no change that these lack is older.
            completeAsOf = copiesOf(era).associate { it.table to it.completeAsOfMillis },
            revisions = copiesOf(era).associate { it.table to it.rowRevision.number },
            isCutOffFromStore = isCutOff,
            storeEra = eras.reported?.let { era },
            eraStart = eras.lowest?.takeIf { era > 0 },
            eraAgeMillis = eras.ageMillis,
            awaitedTables = copies.mapNotNull { copy -> copy.awaited?.let { copy.table to it } }.toMap(),
            retainedDigest = state.retainedDigest().takeIf { era > 0 && needsRetainedRows() },
        )
    }

    /** Whether peers may know rows that the restored store lacks and this instance needs. */
    private fun needsRetainedRows() = eras.ageMillis != null || clock.localMillis < YOUNG_PROCESS_MILLIS

    /** Records what the sender of [report] has applied; a table that stays behind is polled. */
    public fun notePeer(report: NodeReport) {
        eras.record(report)
        report.completeAsOf.values.maxOrNull()?.let { clock.advanceTo(it, report.era) }
        for (feed in feeds) {
            val table = feed.copy.table
            val revision = StoreRevision(report.era, report.revisions[table] ?: 0)
            feed.notePeer(revision, report.completeAsOf[table] ?: 0)
        }
    }

    /** Applies rows that a peer forwarded. */
    public fun applyForwardedRows(part: RowsPart) {
        if (part.isRetained) return state.updateRetainedRows(part.table, retainedRowsOf(part))
        eras.recordRows(part.era, "rows")
        if (part.isSnapshot) clock.advanceTo(part.completeAsOf, part.era)
        copies.firstOrNull { it.table == part.table }?.applyForwarded(part)
    }

    private fun retainedRowsOf(part: RowsPart) = part.rows.map {
        StoreRow(part.table, it.key, it.value, StoreRevision(it.era ?: part.era, it.revision), it.isDeleted)
    }

    /**
     * The rows that the sender of [report] lacks, as far as they are known, if it is this instance that sends them.
     *
     * The peer could read them from the store, but may not be served there, or be so short of processor time that a
     * call takes it seconds, while a datagram is applied as soon as it is read. After a restore, peers also know rows
     * that the store lacks.
     */
    public fun changesFor(report: NodeReport): List<RowsPart> {
        if (report.era < eras.current && report.storeEra == null) return emptyList()
        val parts = when {
            report.era > eras.current -> emptyList()
            report.era < eras.current -> if (report.isCutOffFromStore) {
                copies.map {
                    it to
                        AwaitedPart(0, report.revisions[it.table] ?: 0)
                }
            } else {
                emptyList()
            }
            else -> copies.mapNotNull { copy -> report.awaitedTables[copy.table]?.let { copy to it } }
                .filter { report.isCutOffFromStore }
        }
        val changes = if (report.era == eras.current) changesAfter(report.revisions) else emptyList()
        val retained = if (lacksRetainedRows(report)) state.retainedRows() else emptyMap()
        if (parts.isEmpty() && changes.isEmpty() && retained.isEmpty()) return emptyList()
        if (!feedReaders.isHelperOf(report.name)) return emptyList()
        return changes + withinBudget {
            parts.mapNotNull { (copy, awaited) -> copy.snapshotFor(awaited) } + retained.map(::retainedPart)
        }
    }

    private fun lacksRetainedRows(report: NodeReport) = report.era == eras.current &&
        report.retainedDigest != null &&
        report.retainedDigest != state.retainedDigest()

    private fun retainedPart(rowsOfTable: Map.Entry<String, List<StoreRow>>): RowsPart {
        val (table, rows) = rowsOfTable
        var bytes = 0
        val parts = rows.takeWhile {
            bytes += it.value.size + it.key.length
            bytes <= MAX_RETAINED_BYTES
        }.map { RowPart(it.key, it.value, it.revision.number, it.isDeleted, it.revision.era) }
        return RowsPart(table, after = 0, parts, era = eras.current, isRetained = true)
    }

    /** The rows that [parts] makes, unless what was sent lately has used up the bytes for such rows. */
    private fun withinBudget(parts: () -> List<RowsPart>): List<RowsPart> = synchronized(this) {
        val now = clock.localMillis
        if (nextBulkAtMillis > now + BULK_BURST_MILLIS) return emptyList()
        parts().also { made ->
            val bytes = made.flatMap { it.rows }.sumOf { it.value.size + it.key.length + ROW_BYTES }
            nextBulkAtMillis = maxOf(now, nextBulkAtMillis) + bytes * MILLIS_PER_SECOND / BULK_BYTES_PER_SECOND
        }
    }

    /** The changes that a peer lacks which has applied those up to [revisions], by table, as far as they are known. */
    internal fun changesAfter(revisions: Map<String, Long>): List<RowsPart> =
        copies.mapNotNull { copy -> revisions[copy.table]?.let(copy::changesAfter) }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L

        /** Rate of whole tables and rows from before a restore; a quarter of what reports may take of a link. */
        const val BULK_BYTES_PER_SECOND = 32_768L
        const val BULK_BURST_MILLIS = 500L
        const val ROW_BYTES = 16
        const val MAX_RETAINED_BYTES = 16_384

        /** Age up to which a process may lack what its peers know of the time before a restore. */
        const val YOUNG_PROCESS_MILLIS = 10_000L
        val MISSING_CHECK_INTERVAL = 500.milliseconds
    }
}
