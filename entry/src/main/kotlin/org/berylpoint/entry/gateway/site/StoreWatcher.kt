package org.berylpoint.entry.gateway.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.restarting
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.RowsPart
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
) {
    private val copies = listOf(
        TableCopy(StoreNames.OPERATORS, log, state::replaceOperatorRows, state::updateOperatorRows),
        TableCopy(StoreNames.SERVERS, log, state::replaceServerRows, state::updateServerRows),
    )
    private val feeds = copies.map { TableFeed(it, store, clock, feedReaders, log, state::recordStoreFailure) }

    /** Revision of the newest row applied, by table; tables that have not been read yet are missing. */
    public val revisions: Map<String, Long>
        get() = copies.filter { it.wasLoaded }.associate { it.table to it.rowRevision }

    /** Time on the store's clock up to which all changes are applied, by table; tables not read yet are missing. */
    public val completeAsOfMillis: Map<String, Long>
        get() = copies.filter { it.wasLoaded }.associate { it.table to it.completeAsOfMillis }

    /** How long ago the view was known to be complete, at most; null before all tables were read. */
    public val viewAgeMillis: Long?
        get() {
            val now = clock.nowMillis?.takeIf { copies.all { it.wasLoaded } } ?: return null
            return now - copies.minOf { it.completeAsOfMillis }
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
            }
        }
    }

    /** Records what the sender of [report] has applied; a table that stays behind is polled. */
    public fun notePeer(report: NodeReport) {
        report.completeAsOf.values.maxOrNull()?.let(clock::advanceTo)
        for (feed in feeds) {
            val table = feed.copy.table
            feed.notePeer(report.revisions[table] ?: 0, report.completeAsOf[table] ?: 0)
        }
    }

    /** Applies rows that a peer forwarded. */
    public fun applyForwardedRows(part: RowsPart) {
        copies.firstOrNull { it.table == part.table }?.applyForwarded(part)
    }

    /**
     * The changes that the sender of [report] lacks, as far as they are known, if it is this instance that sends them.
     *
     * The peer could read them from the store, but may not be served there, or be so short of processor time that a
     * call takes it seconds, while a datagram is applied as soon as it is read.
     */
    public fun changesFor(report: NodeReport): List<RowsPart> {
        val changes = changesAfter(report.revisions)
        return if (changes.isNotEmpty() && feedReaders.isHelperOf(report.name)) changes else emptyList()
    }

    /** The changes that a peer lacks which has applied those up to [revisions], by table, as far as they are known. */
    internal fun changesAfter(revisions: Map<String, Long>): List<RowsPart> =
        copies.mapNotNull { copy -> revisions[copy.table]?.let(copy::changesAfter) }

    private companion object {
        val MISSING_CHECK_INTERVAL = 500.milliseconds
    }
}
