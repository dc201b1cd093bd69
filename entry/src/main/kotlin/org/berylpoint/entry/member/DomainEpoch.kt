package org.berylpoint.entry.member

import org.berylpoint.model.BackendServerId
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.Instance
import org.berylpoint.policy.Rendezvous

/** The members of a failure domain as of one version of its row in the table service; the epoch is that version. */
public data class DomainEpoch(val domain: FailureDomain, val epoch: Long, val members: List<Instance>) {
    /** The member that owns [server], a server of this domain; null without members. */
    public fun ownerOf(server: BackendServerId): Instance? = Rendezvous.first(server.value, members) { it.id.value }
}
