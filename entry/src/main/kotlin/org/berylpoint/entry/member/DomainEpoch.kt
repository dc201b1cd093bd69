package org.berylpoint.entry.member

import org.berylpoint.model.BackendServerId
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.Instance
import org.berylpoint.policy.Rendezvous

/** The members of a failure domain at one version of its row in the table service; the epoch is the row's version. */
public data class DomainEpoch(val domain: FailureDomain, val epoch: Long, val members: List<Instance>) {
    /** Returns the member that owns [server], which must be in this domain; null if there are no members. */
    public fun ownerOf(server: BackendServerId): Instance? = Rendezvous.first(server.value, members) { it.id.value }
}
