package org.berylpoint.policy.share

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import org.berylpoint.model.Workspace

/** What [FairShares] knows about one service after a round of reports. */
public data class ShareRound(
    val nowMillis: Long,
    /** Slots of the service's usable servers. */
    val capacity: Double,
    /**
     * The demand of this instance as it stood when the latest reports of the others were written. All instances then
     * compute from the same numbers, and a slot that one gives up is claimed by the others at the same time.
     */
    val own: InstanceDemand,
    /** The demand of the other instances; those that are not heard with their last report. */
    val others: ImmutableList<InstanceDemand>,
    /** Number of instances of the site, with this one and with those that have never been heard. */
    val instances: Int,
    /** Weights of workspaces within their rank, where they differ from 1. */
    val weights: ImmutableMap<Workspace, Double> = persistentMapOf(),
)
