/**
 * The demand for services as reports state it.
 */
package org.berylpoint.entry.gateway.queue

import kotlinx.collections.immutable.toImmutableMap
import org.berylpoint.model.InstanceId
import org.berylpoint.model.Workspace
import org.berylpoint.model.serving.ServiceName
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.QueuePart
import org.berylpoint.policy.share.InstanceDemand
import org.berylpoint.policy.share.ShareGroup
import org.berylpoint.policy.share.SlotDemand

/** The demand of the sender for [service]. */
internal fun NodeReport.demandFor(service: ServiceName, isHeard: Boolean): InstanceDemand = InstanceDemand(
    InstanceId(name),
    queues.filter { it.service == service.value }.associate { part ->
        ShareGroup(part.rank, part.workspace?.let(::Workspace)) to
            SlotDemand(part.running, part.waiting, part.refused)
    }.toImmutableMap(),
    isHeard,
)

internal fun Map<ShareGroup, SlotDemand>.toParts(service: ServiceName): List<QueuePart> = map { (group, demand) ->
    QueuePart(service.value, group.rank, group.workspace?.name, demand.running, demand.waiting, demand.refused)
}
