package org.berylpoint.entry.gateway.peers

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.restarting
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.ReportSocket
import org.berylpoint.peer.RowsPart
import org.berylpoint.platform.store.RowWrite
import org.berylpoint.platform.store.StoreClient
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An entry instance's row in the store: the IP number and port on which it receives reports. */
@Serializable
internal data class PeerRow(val address: String)

/**
 * Sends this instance's report to all other instances several times a second and receives theirs.
 *
 * An instance writes its own row before it reads the rows of all instances. Of two that start at the same time at least
 * one therefore finds the other, which discovers the first by the report that it receives.
 */
internal class PeerReportExchange(
    private val self: String,
    private val address: String,
    private val store: StoreClient,
    private val view: PeerView,
    private val log: DecisionLog,
    private val buildReport: (sequence: Long) -> NodeReport,
    /** Gets forwarded rows first, whatever becomes of their report: they are ordered by their own revisions. */
    private val onRows: (RowsPart) -> Unit,
    private val onReport: (NodeReport) -> Unit,
) {
    private val sequence = AtomicLong()

    @Volatile
    private var socket: ReportSocket? = null

    /** Sends changed rows to the live instances of [domain], or nothing where a datagram can't hold them. */
    fun forwardRows(domain: String, rows: RowsPart) {
        if (rows.rows.sumOf { it.value.size } > MAX_FORWARDED_BYTES) return
        socket?.send(buildReport(sequence.incrementAndGet()).copy(rows = rows), view.liveAddressesIn(domain))
    }

    /** Sends changed rows to the instance that receives reports at [peerAddress]. */
    fun sendRows(rows: RowsPart, peerAddress: String) {
        socket?.send(buildReport(sequence.incrementAndGet()).copy(rows = rows), listOf(peerAddress))
    }

    /** Opens the socket, then registers, sends and receives in [scope] until it ends. */
    fun start(scope: CoroutineScope) {
        val socket = ReportSocket.open(address)
        this.socket = socket
        scope.coroutineContext.job.invokeOnCompletion { socket.close() }
        socket.receive { received ->
            received.rows?.let(onRows)
            view.accept(received)?.let(onReport)
        }
        scope.launch { restarting(log, "peer discovery") { registerAndDiscover() } }
        scope.launch { restarting(log, "peer reports") { sendReports(socket) } }
    }

    private suspend fun sendReports(socket: ReportSocket) {
        while (true) {
            view.removeExpiredPeers()
            val addresses = view.addresses()
            socket.send(buildReport(sequence.incrementAndGet()), addresses)
            delay(PeerView.reportIntervalMillis(addresses.size).milliseconds)
        }
    }

    private suspend fun registerAndDiscover() {
        var isRegistered = false
        var retryDelay = FIRST_RETRY_DELAY
        while (true) {
            if (!isRegistered) {
                val value = Json.encodeToString(PeerRow.serializer(), PeerRow(address)).encodeToByteArray()
                store.commit(emptyList(), listOf(RowWrite(TABLE, self, value))).fold(
                    ifLeft = { log.event("peer", "writing this instance's row failed", "cause" to it) },
                    ifRight = { isRegistered = true },
                )
            }
            if (isRegistered && discoverPeers()) return
            delay(retryDelay)
            retryDelay = minOf(retryDelay * 2, MAX_RETRY_DELAY)
        }
    }

    private suspend fun discoverPeers(): Boolean = store.read(TABLE).fold(
        ifLeft = {
            log.event("peer", "reading the rows of instances failed", "cause" to it)
            false
        },
        ifRight = { rows ->
            for (row in rows.rows) {
                runCatching { Json.decodeFromString(PeerRow.serializer(), row.value.decodeToString()) }
                    .onSuccess { view.add(row.key, it.address) }
                    .onFailure { log.event("peer", "an instance's row is malformed", "key" to row.key) }
            }
            view.isPeerListLoaded = true
            true
        },
    )

    private companion object {
        const val TABLE = "instances"

        /** Limit on the values of all forwarded rows; each instance reads larger changes from the store. */
        const val MAX_FORWARDED_BYTES = 4_096
        val FIRST_RETRY_DELAY = 300.milliseconds
        val MAX_RETRY_DELAY = 3.seconds
    }
}
