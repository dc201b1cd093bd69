package org.berylpoint.entry.gateway.duty

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.site.SiteState
import org.berylpoint.model.VersionName
import org.berylpoint.model.serving.ServiceName

/**
 * Versions of earlier orders that were not completed, while their servers are there. They must not get requests, unless
 * no other version has a server or they are ordered again. Requests read them without a lock.
 */
internal class BarredVersions(private val site: SiteState, private val log: DecisionLog) {
    @Volatile
    private var versions: PersistentMap<ServiceName, PersistentSet<VersionName>> = persistentMapOf()

    fun of(service: ServiceName): Set<VersionName> = versions[service] ?: persistentSetOf()

    /** Bars those of [added] that have servers and are not ordered now. */
    @Synchronized
    fun add(service: ServiceName, added: Set<VersionName>) {
        val new = added.filter { it !in of(service) && isKept(service, it) }
        if (new.isEmpty()) return
        log.event("rollout", "versions get no requests any more", "service" to service.value, "versions" to new)
        versions = versions.put(service, (of(service) + new).toPersistentSet())
    }

    /** Gives up versions that are ordered again, and those whose servers have gone. */
    @Synchronized
    fun update() {
        for ((service, barred) in versions) {
            val left = barred.filter { isKept(service, it) }
            versions = if (left.isEmpty()) versions.remove(service) else versions.put(service, left.toPersistentSet())
        }
    }

    private fun isKept(service: ServiceName, version: VersionName): Boolean {
        val view = site.view
        if (view.rollouts[service]?.to == version) return false
        return !view.hasLoadedServers ||
            view.servers.values.any { it.entry.service == service && it.entry.version == version }
    }
}
