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

/** What this process knows of the site from the store, at one moment. */
public data class SiteView(
    val config: ServingConfig? = null,
    val servers: PersistentMap<BackendServerId, ObservedServer> = persistentMapOf(),
    val outOfServiceDomains: PersistentSet<FailureDomain> = persistentSetOf(),
    val rollouts: PersistentMap<ServiceName, RolloutOrder> = persistentMapOf(),
    /** Whether the entries of servers were read at least once. */
    val hasLoadedServers: Boolean = false,
) {
    /** Whether enough is known to serve requests. */
    public val canServe: Boolean get() = config != null && hasLoadedServers

    /** Servers of [service] that may get new requests. */
    public fun usableServers(service: ServiceName): List<ObservedServer> = servers.values.filter {
        it.entry.service == service && !it.entry.isDraining && it.entry.domain !in outOfServiceDomains
    }
}

/** A server's entry and when this process learned it, on its steady clock. */
public data class ObservedServer(val entry: RegisteredServer, val observedAtMillis: Long, val revision: Long) {
    /** Whether the server is still cold at [nowMillis]. */
    public fun isCold(nowMillis: Long): Boolean =
        entry.coldRemainingMillis > 0 && nowMillis - observedAtMillis < entry.coldRemainingMillis + COLD_MARGIN_MILLIS

    private companion object {
        /** The entry's age is not known exactly, so the cold phase is taken to be a little longer. */
        const val COLD_MARGIN_MILLIS = 500L
    }
}
