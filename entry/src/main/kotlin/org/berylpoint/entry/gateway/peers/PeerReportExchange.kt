package org.berylpoint.entry.gateway.peers

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.ReportSocket
import org.berylpoint.peer.RowsPart
import org.berylpoint.platform.store.RowWrite
import org.berylpoint.platform.store.StoreClient
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Where an entry instance receives reports, as it stands in the store. */
@Serializable
internal data class PeerRow(val address: String)

/**
 * Sends this instance's report to all others several times a second and takes in theirs.
 *
 * An instance writes its own row first and then reads all rows, so of two that start at the same time at least one
 * finds the other; the other one learns it from the report.
 */
internal class PeerReportExchange(
    private val self: String,
    private val address: String,
    private val store: StoreClient,
    private val view: PeerView,
    private val log: DecisionLog,
    private val report: (sequence: Long) -> NodeReport,
    private val onReport: (NodeReport) -> Unit,
) {
    private val sequence = AtomicLong()

    private var socket: ReportSocket? = null

    /** Hands changed rows on to the instances of [domain]; null where a datagram can't hold them. */
    suspend fun forwardRows(domain: String, rows: RowsPart) {
        if (rows.rows.sumOf { it.value.size } > MAX_ROW_BYTES) return
        socket?.send(report(sequence.incrementAndGet()).copy(rows = rows), view.addressesIn(domain))
    }

    suspend fun start(scope: CoroutineScope) {
        val socket = ReportSocket.open(address)
        this.socket = socket
        socket.receive(scope) { received -> view.accept(received)?.let(onReport) }
        scope.launch { announce() }
        scope.launch {
            while (true) {
                view.expire()
                val addresses = view.addresses()
                socket.send(report(sequence.incrementAndGet()), addresses)
                delay(PeerView.reportIntervalMillis(addresses.size).milliseconds)
            }
        }
    }

    private suspend fun announce() {
        var isWritten = false
        var wait = FIRST_RETRY
        while (true) {
            if (!isWritten) {
                val value = Json.encodeToString(PeerRow.serializer(), PeerRow(address)).encodeToByteArray()
                store.commit(emptyList(), listOf(RowWrite(TABLE, self, value))).fold(
                    ifLeft = { log.event("peer", "the own row was not written", "cause" to it) },
                    ifRight = { isWritten = true },
                )
            }
            if (isWritten && readRows()) return
            delay(wait)
            wait = minOf(wait * 2, LONGEST_RETRY)
        }
    }

    private suspend fun readRows(): Boolean = store.read(TABLE).fold(
        ifLeft = {
            log.event("peer", "the rows of instances were not read", "cause" to it)
            false
        },
        ifRight = { rows ->
            for (row in rows.rows) {
                runCatching { Json.decodeFromString(PeerRow.serializer(), row.value.decodeToString()) }
                    .onSuccess { view.add(row.key, it.address) }
                    .onFailure { log.event("peer", "a row of an instance can't be read", "key" to row.key) }
            }
            view.isPeerListLoaded = true
            true
        },
    )

    private companion object {
        const val TABLE = "instances"

        /** Larger changes are read from the store by each instance. */
        const val MAX_ROW_BYTES = 4_096
        val FIRST_RETRY = 300.milliseconds
        val LONGEST_RETRY = 3.seconds
    }
}
