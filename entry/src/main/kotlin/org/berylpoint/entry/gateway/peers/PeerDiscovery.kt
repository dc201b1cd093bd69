package org.berylpoint.entry.gateway.peers

import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.platform.store.RowWrite
import org.berylpoint.platform.store.StoreClient
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An entry instance's row in the store: the IP number and port on which it receives reports. */
@Serializable
internal data class PeerRow(val address: String)

/**
 * Finds the other instances by their rows in the store.
 *
 * An instance writes its own row before it reads the rows of all instances. Of two that start at the same time at least
 * one therefore finds the other, which discovers the first by the report that it receives.
 */
internal class PeerDiscovery(
    private val self: String,
    private val address: String,
    private val store: StoreClient,
    private val view: PeerView,
    private val log: DecisionLog,
) {
    /** Registers this instance and adds all others to the view; tries until both have succeeded. */
    suspend fun registerAndDiscover() {
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
        val FIRST_RETRY_DELAY = 300.milliseconds
        val MAX_RETRY_DELAY = 3.seconds
    }
}
