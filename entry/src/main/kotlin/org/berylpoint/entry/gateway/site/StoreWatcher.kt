package org.berylpoint.entry.gateway.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.platform.store.StoreClient
import org.berylpoint.platform.store.StoreError
import org.berylpoint.platform.store.StoreRow
import org.berylpoint.platform.wire.StoreNames
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Keeps [state] up to date by one feed for each table. [longestWait] gives the wait to ask of the next call. */
public class StoreWatcher(
    private val store: StoreClient,
    private val state: SiteState,
    private val log: DecisionLog,
    private val longestWait: () -> Duration,
) {
    private val operators = TableFeed(StoreNames.OPERATORS, state::replaceOperators, state::updateOperators)
    private val servers = TableFeed(StoreNames.SERVERS, state::replaceServers, state::updateServers)

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
                state.expireMissing()
            }
        }
    }

    /** Takes note that a peer has applied [revisions]; a feed that stays behind is asked again. */
    public fun peerHas(revisions: Map<String, Long>) {
        for (feed in listOf(operators, servers)) feed.peerHas(revisions[feed.table] ?: 0)
    }

    private inner class TableFeed(
        val table: String,
        private val replace: (List<StoreRow>) -> Unit,
        private val update: (List<StoreRow>) -> Unit,
    ) {
        private var revision = 0L

        /** Unlike [revision], which counts writes to any table, this one shows whether a change of this table is missing. */
        @Volatile
        var rowRevision = 0L
        private var isKnown = false
        private var failures = 0
        private val behind = Channel<Unit>(Channel.CONFLATED)

        @Volatile
        private var peerRevision = 0L

        fun peerHas(newest: Long) {
            if (newest <= revision || newest <= peerRevision) return
            peerRevision = newest
            behind.trySend(Unit)
        }

        suspend fun run() {
            while (true) {
                val error = if (isKnown) follow() else readAll()
                if (error == null) {
                    if (failures > 0) log.belief("site", "the store answers again", "table" to table, "failures" to failures)
                    failures = 0
                    continue
                }
                state.storeFailed()
                if (failures++ == 0) log.belief("site", "the store failed a call", "table" to table, "cause" to error)
                delay(RETRY_FIRST * minOf(failures, RETRY_STEPS))
            }
        }

        private suspend fun readAll(): StoreError? = store.read(table).fold(
            ifLeft = { it },
            ifRight = {
                // A read that lags behind what is known would take rows back.
                if (it.revision < revision) return StoreError.NotDone("a read as of ${it.revision}, known is $revision")
                replace(it.rows)
                noteRows(it.rows)
                revision = it.revision
                isKnown = true
                null
            },
        )

        private fun noteRows(rows: List<StoreRow>) {
            rowRevision = maxOf(rowRevision, rows.maxOfOrNull { it.revision } ?: 0)
        }

        private suspend fun follow(): StoreError? {
            val wait = if (failures > 0) Duration.ZERO else longestWait()
            val answer = coroutineScope {
                val call = async { store.changes(table, revision, wait) }
                val early = async {
                    behind.receive()
                    delay(BEHIND_PATIENCE)
                }
                val result = select {
                    call.onAwait { it }
                    early.onAwait { null }
                }
                call.cancel()
                early.cancel()
                result
            }
            if (answer == null) {
                if (peerRevision > revision) {
                    log.belief("site", "a feed stays behind a peer", "table" to table, "revision" to revision)
                    return store.changes(table, revision, Duration.ZERO).fold({ failed(it) }, ::applied)
                }
                return null
            }
            return answer.fold({ failed(it) }, ::applied)
        }

        private fun failed(error: StoreError): StoreError? {
            if (error != StoreError.HistoryGone) return error
            log.belief("site", "the store dropped its history", "table" to table, "revision" to revision)
            isKnown = false
            return null
        }

        private fun applied(rows: org.berylpoint.platform.store.StoreRows): StoreError? {
            update(rows.rows)
            noteRows(rows.rows)
            revision = maxOf(revision, rows.revision)
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
