package org.berylpoint.entry.gateway.duty

import org.berylpoint.model.serving.RolloutOrder
import org.berylpoint.peer.NodeReport
import org.berylpoint.policy.rollout.ComparedVersions
import org.berylpoint.policy.rollout.TimingCounts
import org.berylpoint.policy.rollout.VersionCounts
import org.berylpoint.policy.rollout.VersionEvidence

/** What the processes of [reports] have seen of the versions of the service of [order] since they started. */
internal fun comparedVersions(reports: List<NodeReport>, order: RolloutOrder) =
    ComparedVersions(evidenceOf(reports, order, ofNew = true), evidenceOf(reports, order, ofNew = false))

private fun evidenceOf(reports: List<NodeReport>, order: RolloutOrder, ofNew: Boolean): VersionEvidence {
    val parts = reports.flatMap { it.outcomes }
        .filter { it.service == order.service.value && (it.version == order.to.value) == ofNew }
    val routes = reports.flatMap { it.routeOutcomes }
        .filter { it.service == order.service.value && (it.version == order.to.value) == ofNew }
        .groupBy { it.route }
    return VersionEvidence(
        VersionCounts(parts.sumOf { it.good }, parts.sumOf { it.bad }),
        TimingCounts(parts.sumOf { it.timed }, parts.sumOf { it.slow }),
        routes.mapValues { (_, ofRoute) -> VersionCounts(ofRoute.sumOf { it.good }, ofRoute.sumOf { it.bad }) },
        parts.sumOf { it.errors },
    )
}
