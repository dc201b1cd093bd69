package org.berylpoint.entry.catalogue

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import org.berylpoint.entry.member.MembershipView
import org.berylpoint.model.InstanceId

/** The highest catalogue version that each other instance has confirmed to be in force there. */
internal class CatalogueConfirmations(private val membership: StateFlow<MembershipView>) {
    private val versions = MutableStateFlow<PersistentMap<InstanceId, Long>>(persistentMapOf())

    /** The version that each member has confirmed; 0 for none so far. Callable from any thread. */
    fun ofMembers(): Map<InstanceId, Long> {
        val confirmed = versions.value
        return membership.value.members.mapValues { (id, _) -> confirmed[id] ?: 0 }
    }

    /** Records that the instance [id] has confirmed [version]. */
    fun record(id: InstanceId, version: Long) {
        val members = membership.value.members
        val confirmed = versions.value
        if (version <= (confirmed[id] ?: 0)) return
        versions.value = confirmed.mutate { map ->
            map[id] = version
            if (map.size > members.size + MAX_DEPARTED) map.keys.retainAll(members.keys + id)
        }
    }

    private companion object {
        /** Departed instances whose confirmations are kept, since they may come back. */
        const val MAX_DEPARTED = 100
    }
}
