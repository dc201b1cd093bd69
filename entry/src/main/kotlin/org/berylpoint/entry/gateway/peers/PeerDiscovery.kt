package org.berylpoint.entry.gateway.peers

import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.site.StoreEras
import org.berylpoint.platform.store.RowWrite
import org.berylpoint.platform.store.StoreClient
import kotlin.random.Random
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
    private val eras: StoreEras,
    private val random: Random,
) {
    /** Era of the store in which this instance's row was written. */
    private var registeredEra = 0L

    /** Registers this instance, and again in each new era of the store, until cancelled. */
    suspend fun run() {
        registerAndDiscover()
        while (true) {
            delay(ERA_CHECK_INTERVAL)
            val era = eras.current
            if (era == registeredEra) continue
            // All instances write their rows again, and the store bounds the writes of all of them.
            delay(random.nextLong(maxOf(MIN_SPREAD_MILLIS, view.peerCount * SPREAD_MILLIS_PER_PEER)).milliseconds)
            registerAndDiscover()
            log.event("peer", "this instance's row is written again", "era" to registeredEra)
        }
    }

    /** Registers this instance and adds all others to the view; tries until both have succeeded. */
    suspend fun registerAndDiscover() {
        var isRegistered = false
        var retryDelay = FIRST_RETRY_DELAY
        while (true) {
            if (!isRegistered) {
                val value = Json.encodeToString(PeerRow.serializer(), PeerRow(address)).encodeToByteArray()
                store.commit(emptyList(), listOf(RowWrite(TABLE, self, value))).fold(
                    ifLeft = { log.event("peer", "writing this instance's row failed", "cause" to it) },
                    ifRight = {
                        isRegistered = true
                        registeredEra = it.revision.era
                    },
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
        val ERA_CHECK_INTERVAL = 250.milliseconds

        /** Half of the writes that the store takes from all instances in a second. */
        const val SPREAD_MILLIS_PER_PEER = 2L
        const val MIN_SPREAD_MILLIS = 500L
    }
}
