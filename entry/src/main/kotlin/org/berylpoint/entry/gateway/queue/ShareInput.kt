package org.berylpoint.entry.gateway.queue

import org.berylpoint.model.BackendServerId
import org.berylpoint.peer.ServerLoads
import org.berylpoint.policy.share.InstanceDemand

/** What one round of reports says of a service. */
internal class ShareInput(
    /** Slots of the usable servers. */
    val slots: Map<BackendServerId, Int>,
    /** Demand of the other instances, as each last reported it. */
    val others: List<InstanceDemand>,
    /** Requests of the other instances at each server. */
    val othersLoads: ServerLoads,
    /** Requests of this instance at each server now. */
    val ownLoads: ServerLoads,
    /** Number of instances of the site, with this one and with those that were never heard. */
    val instances: Int,
)
