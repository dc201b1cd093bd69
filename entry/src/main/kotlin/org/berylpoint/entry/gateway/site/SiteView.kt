package org.berylpoint.entry.gateway.site

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.serving.RegisteredServer
import org.berylpoint.model.serving.RolloutOrder
import org.berylpoint.model.serving.ServiceName
import org.berylpoint.model.serving.ServingConfig
import org.berylpoint.platform.store.StoreRevision

/**
 * Immutable snapshot of the site as this process has read it from the store: configuration, backend servers, failure
 * domains out of service, and rollouts.
 */
public data class SiteView(
    val config: ServingConfig? = null,
    val servers: PersistentMap<BackendServerId, ObservedServer> = persistentMapOf(),
    val outOfServiceDomains: PersistentSet<FailureDomain> = persistentSetOf(),
    val rollouts: PersistentMap<ServiceName, RolloutOrder> = persistentMapOf(),
    /** The rows that hold [rollouts]; their revisions are others than the orders' after a restore. */
    val rolloutRows: PersistentMap<ServiceName, OrderRow> = persistentMapOf(),
    /** Servers whose entries are missing, which may have left or may only have lapsed in an outage of the store. */
    val missingServers: PersistentSet<BackendServerId> = persistentSetOf(),
    /** Whether all server entries were read at least once. */
    val hasLoadedServers: Boolean = false,
    /** Whether the configuration is not known to be older than what peers have; see [StartupCheck]. */
    val isConfirmed: Boolean = true,
) {
    /** Whether the configuration and the server entries have been loaded, so that requests can be served. */
    public val canServe: Boolean get() = config != null && hasLoadedServers && isConfirmed

    /**
     * Servers of [service] that may receive new requests. Servers leave a few at a time, so those whose entries are
     * missing are included only if they are most of the service: the entries have lapsed then.
     */
    public fun usableServers(service: ServiceName): List<ObservedServer> {
        val active = servers.values.filter { it.entry.service == service && isActive(it.entry) }
        val present = active.filterNot { it.entry.id in missingServers }
        return if (present.size * 2 >= active.size) present else active
    }

    /** Whether [server], which was selected earlier, may still receive new requests: it is the same process. */
    public fun isUsable(server: RegisteredServer): Boolean {
        val current = servers[server.id]?.entry ?: return false
        if (current.startedAtMillis != server.startedAtMillis || !isActive(current)) return false
        return current.id !in missingServers || usableServers(current.service).any { it.entry.id == current.id }
    }

    private fun isActive(server: RegisteredServer) = !server.isDraining && server.domain !in outOfServiceDomains
}

/** The row that holds an operators' order, with the steady-clock time at which this process first read the order. */
public data class OrderRow(val revision: StoreRevision, val observedAtMillis: Long)

/** A server's entry, with the steady-clock time at which this process read it and the revision of its row. */
public data class ObservedServer(val entry: RegisteredServer, val observedAtMillis: Long, val revision: StoreRevision) {
    /** Whether the server is still cold at [nowMillis]. */
    public fun isCold(nowMillis: Long): Boolean =
        entry.coldRemainingMillis > 0 && nowMillis - observedAtMillis < entry.coldRemainingMillis + COLD_MARGIN_MILLIS

    private companion object {
        /** Added to the cold phase, since the age of the entry at its reading is not known exactly. */
        const val COLD_MARGIN_MILLIS = 500L
    }
}
