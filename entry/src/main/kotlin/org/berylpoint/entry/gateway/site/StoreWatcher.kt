package org.berylpoint.entry.gateway.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.peer.RowPart
import org.berylpoint.peer.RowsPart
import org.berylpoint.platform.store.StoreClient
import org.berylpoint.platform.store.StoreError
import org.berylpoint.platform.store.StoreRow
import org.berylpoint.platform.store.StoreRows
import org.berylpoint.platform.wire.StoreNames
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Keeps [state] up to date with the store.
 *
 * In each failure domain one instance follows the tables' feeds and hands changed rows on to the others; these read
 * the store themselves when a peer has a newer row than they do, and now and then in any case.
 */
public class StoreWatcher(
    private val store: StoreClient,
    private val state: SiteState,
    private val log: DecisionLog,
    private val reading: FeedReaderSelection,
) {
    private val operators = TableFeed(StoreNames.OPERATORS, state::replaceOperatorRows, state::updateOperatorRows)
    private val servers = TableFeed(StoreNames.SERVERS, state::replaceServerRows, state::updateServerRows)

    /** Revision of the newest row applied, by table. */
    public val revisions: Map<String, Long>
        get() = mapOf(operators.table to operators.rowRevision, servers.table to servers.rowRevision)

    /** Runs until [scope] ends. */
    public fun start(scope: CoroutineScope): Job = scope.launch {
        launch { operators.run() }
        launch { servers.run() }
        launch {
            while (true) {
                delay(EXPIRY_INTERVAL)
                state.removeMissingServers()
            }
        }
    }

    /** Takes note that a peer has applied [revisions]; a feed that stays behind is asked again. */
    public fun notePeerRevisions(revisions: Map<String, Long>) {
        for (feed in listOf(operators, servers)) feed.peerHas(revisions[feed.table] ?: 0)
    }

    /** Takes in rows that the reader of this failure domain handed on. */
    public fun applyForwardedRows(part: RowsPart) {
        val feed = listOf(operators, servers).firstOrNull { it.table == part.table } ?: return
        feed.handedOn(part)
    }

    private inner class TableFeed(
        val table: String,
        private val replace: (List<StoreRow>) -> Unit,
        private val update: (List<StoreRow>) -> Unit,
    ) {
        private var revision = 0L

        /** Unlike [revision], which counts writes to any table, it shows whether a change of this table is missing. */
        @Volatile
        var rowRevision = 0L
        private var isKnown = false
        private var failures = 0
        private val behind = Channel<Unit>(Channel.CONFLATED)
        private val applying = Any()

        @Volatile
        private var peerRevision = 0L

        fun handedOn(part: RowsPart) = synchronized(applying) {
            if (!isKnown || rowRevision < part.after) return
            val rows = part.rows.map { StoreRow(table, it.key, it.value, it.revision, it.isDeleted) }
            update(rows.filter { it.revision > rowRevision })
            noteRows(rows)
            revision = maxOf(revision, rowRevision)
        }

        fun peerHas(newest: Long) {
            if (newest <= rowRevision || newest <= peerRevision) return
            peerRevision = newest
            behind.trySend(Unit)
        }

        suspend fun run() {
            while (true) {
                val error = if (isKnown) follow() else readAll()
                if (error == null) {
                    if (failures >
                        0
                    ) {
                        log.event("site", "the store answers again", "table" to table, "failures" to failures)
                    }
                    failures = 0
                    continue
                }
                state.recordStoreFailure()
                if (failures++ == 0) log.event("site", "the store failed a call", "table" to table, "cause" to error)
                delay(RETRY_FIRST * minOf(failures, RETRY_STEPS))
            }
        }

        private suspend fun readAll(): StoreError? = store.read(table).fold(
            ifLeft = { it },
            ifRight = {
                // A read that lags behind what is known would take rows back.
                if (it.revision < revision) return StoreError.NotDone("a read as of ${it.revision}, known is $revision")
                synchronized(applying) {
                    replace(it.rows)
                    noteRows(it.rows)
                    revision = it.revision
                    isKnown = true
                }
                null
            },
        )

        private fun noteRows(rows: List<StoreRow>) {
            rowRevision = maxOf(rowRevision, rows.maxOfOrNull { it.revision } ?: 0)
        }

        private suspend fun follow(): StoreError? {
            val wait = reading.longPollWait()
            return when {
                failures > 0 -> ask(Duration.ZERO)
                wait != null -> followFeed(wait)
                else -> followPeers()
            }
        }

        /** Waits for a change, or for a sign that the feed stays behind a peer. */
        private suspend fun followFeed(wait: Duration): StoreError? {
            val answer = coroutineScope {
                val call = async { store.changes(table, revision, wait) }
                val early = async { peerAhead() }
                val result = select {
                    call.onAwait { it }
                    early.onAwait { null }
                }
                call.cancel()
                early.cancel()
                result
            }
            if (answer != null) return answer.fold({ failed(it) }, { applied(it) })
            return askIfBehind()
        }

        private suspend fun followPeers(): StoreError? {
            val isAhead = withTimeoutOrNull(reading.pollInterval) { peerAhead() } != null
            return if (isAhead) askIfBehind() else ask(Duration.ZERO)
        }

        /** Returns some time after a peer is known to have a newer row; the row may have come meanwhile. */
        private suspend fun peerAhead() {
            behind.receive()
            delay(BEHIND_PATIENCE)
        }

        private suspend fun askIfBehind(): StoreError? {
            if (peerRevision <= rowRevision) return null
            log.event(
                "site",
                "a peer has newer rows",
                "table" to table,
                "revision" to rowRevision,
                "peer" to peerRevision,
            )
            return ask(Duration.ZERO)
        }

        private suspend fun ask(wait: Duration): StoreError? =
            store.changes(table, revision, wait).fold({ failed(it) }, { applied(it) })

        private fun failed(error: StoreError): StoreError? {
            if (error != StoreError.HistoryGone) return error
            log.event("site", "the store dropped its history", "table" to table, "revision" to revision)
            isKnown = false
            return null
        }

        private suspend fun applied(rows: StoreRows): StoreError? {
            val after = rowRevision
            synchronized(applying) {
                update(rows.rows)
                noteRows(rows.rows)
                revision = maxOf(revision, rows.revision)
            }
            if (rows.rows.isNotEmpty() && reading.longPollWait() != null) {
                reading.forwardRows(
                    RowsPart(
                        table,
                        after,
                        rows.rows.map {
                            RowPart(it.key, it.value, it.revision, it.isDeleted)
                        },
                    ),
                )
            }
            return null
        }
    }

    private companion object {
        val RETRY_FIRST = 100.milliseconds
        const val RETRY_STEPS = 5
        val EXPIRY_INTERVAL = 500.milliseconds

        /** Time that a feed may stay behind a peer before it is taken for silent. */
        val BEHIND_PATIENCE = 250.milliseconds
    }
}
