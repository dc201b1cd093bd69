package org.berylpoint.entry.gateway.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.peer.RowsPart
import org.berylpoint.platform.store.StoreRow
import org.berylpoint.platform.store.TableReader
import org.berylpoint.platform.wire.StoreNames
import kotlin.time.Duration.Companion.milliseconds

/**
 * Keeps [state] up to date with the store.
 *
 * In each failure domain one instance reads the tables' feeds and forwards changed rows to the others. These poll the
 * store themselves when a peer has applied a newer row than they have, and at a long interval in any case.
 */
public class StoreWatcher(
    private val store: TableReader,
    private val state: SiteState,
    private val log: DecisionLog,
    private val feedReaders: FeedReaderSelection,
) {
    private val operatorFeed = feed(StoreNames.OPERATORS, state::replaceOperatorRows, state::updateOperatorRows)
    private val serverFeed = feed(StoreNames.SERVERS, state::replaceServerRows, state::updateServerRows)

    /** Revision of the newest row applied, by table. */
    public val revisions: Map<String, Long>
        get() = mapOf(operatorFeed.table to operatorFeed.rowRevision, serverFeed.table to serverFeed.rowRevision)

    /** Runs until [scope] ends. */
    public fun start(scope: CoroutineScope): Job = scope.launch {
        launch { operatorFeed.run() }
        launch { serverFeed.run() }
        launch {
            while (true) {
                delay(MISSING_CHECK_INTERVAL)
                state.removeMissingServers()
            }
        }
    }

    /** Records the revisions that a peer has applied, by table; a table that stays behind them is polled. */
    public fun notePeerRevisions(revisions: Map<String, Long>) {
        for (feed in listOf(operatorFeed, serverFeed)) feed.notePeerRevision(revisions[feed.table] ?: 0)
    }

    /** Applies rows that the feed reader of this failure domain forwarded. */
    public fun applyForwardedRows(part: RowsPart) {
        val feed = listOf(operatorFeed, serverFeed).firstOrNull { it.table == part.table } ?: return
        feed.applyForwarded(part)
    }

    private fun feed(table: String, replace: (List<StoreRow>) -> Unit, update: (List<StoreRow>) -> Unit) =
        TableFeed(table, store, feedReaders, log, replace, update, state::recordStoreFailure)

    private companion object {
        val MISSING_CHECK_INTERVAL = 500.milliseconds
    }
}
