package org.berylpoint.entry.pipeline

import org.berylpoint.entry.backend.ListedServer
import org.berylpoint.model.RequestClass
import org.berylpoint.policy.placement.AffinityRing

/** The servers of a class that accept new requests, indexed by version and id and placed on a hash ring. */
internal class ClassServers(val listed: List<ListedServer>) {
    val ring: AffinityRing<ListedServer> = AffinityRing(listed) { it.server.id.value }
    val byVersion = listed.groupBy { it.entry.version }
    val byId = listed.associateBy { it.server.id }
}

/** Caches the indexes and the hash ring of each class until its server list changes. */
internal class ClassServerCache {
    private val cached = HashMap<RequestClass, ClassServers>()

    fun of(requestClass: RequestClass, listed: List<ListedServer>): ClassServers {
        val old = cached[requestClass]
        // The identity check skips the comparison if the directory returns the same unchanged list.
        if (old != null && (old.listed === listed || old.listed == listed)) return old
        return ClassServers(listed).also { cached[requestClass] = it }
    }
}
