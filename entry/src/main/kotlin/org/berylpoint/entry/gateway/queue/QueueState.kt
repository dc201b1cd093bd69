package org.berylpoint.entry.gateway.queue

import org.berylpoint.policy.queue.QueueCount
import org.berylpoint.policy.share.InstanceAllowance
import org.berylpoint.policy.share.ShareGroup
import org.berylpoint.policy.share.SlotDemand

/** A snapshot of a [ServiceQueue] for reports, metrics and the dump. */
internal data class QueueState(
    val allowance: InstanceAllowance = InstanceAllowance.UNLIMITED,
    /** Slots of the service's usable servers in the last round. */
    val capacity: Int = 0,
    /** What waits here now, by rank and workspace. */
    val waiting: Map<ShareGroup, QueueCount> = emptyMap(),
    /** Demand of this instance as it was at the last round; reports state it until the next one. */
    val reported: Map<ShareGroup, SlotDemand> = emptyMap(),
)
