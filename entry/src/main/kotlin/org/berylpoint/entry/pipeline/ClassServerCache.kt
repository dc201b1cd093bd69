package org.berylpoint.entry.pipeline

import org.berylpoint.entry.backend.ListedServer
import org.berylpoint.model.RequestClass
import org.berylpoint.policy.placement.AffinityRing

/** The servers of a class that may get new work, prepared for the choice of a few. */
internal class ClassServers(val listed: List<ListedServer>) {
    val ring: AffinityRing<ListedServer> = AffinityRing(listed) { it.server.id.value }
    val byVersion = listed.groupBy { it.entry.version }
    val byId = listed.associateBy { it.server.id }
}

/** Keeps the hash ring of each class until its servers change. */
internal class ClassServerCache {
    private val known = HashMap<RequestClass, ClassServers>()

    fun of(requestClass: RequestClass, listed: List<ListedServer>): ClassServers {
        val old = known[requestClass]
        // A directory that gives the same list until something changes saves the comparison.
        if (old != null && (old.listed === listed || old.listed == listed)) return old
        return ClassServers(listed).also { known[requestClass] = it }
    }
}
