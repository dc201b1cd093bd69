package org.berylpoint.policy.share

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap
import org.berylpoint.model.InstanceId

/** The demand for one service at one instance, as its latest report states it. */
public data class InstanceDemand(
    val instance: InstanceId,
    val groups: ImmutableMap<ShareGroup, SlotDemand>,
    /** False while the instance has been silent for longer than its reports take. */
    val isHeard: Boolean = true,
) {
    /** Requests of the instance that run at servers, over all groups. */
    public val running: Int = groups.values.sumOf { it.running }

    public companion object {
        /** Groups that a report lists by name for each service. */
        public const val MAX_NAMED_GROUPS: Int = 8

        /**
         * Reduces [groups] to what a report carries: the [maxNamed] groups with the highest demand by name, the others
         * summed per rank.
         */
        public fun summarize(
            groups: Map<ShareGroup, SlotDemand>,
            maxNamed: Int = MAX_NAMED_GROUPS,
        ): ImmutableMap<ShareGroup, SlotDemand> {
            // Ties are broken by name, so that the same groups stay listed from one report to the next.
            val order = compareByDescending<Map.Entry<ShareGroup, SlotDemand>> { it.value.total }
                .thenBy { it.key.rank }
                .thenBy { it.key.workspace?.name.orEmpty() }
            val result = LinkedHashMap<ShareGroup, SlotDemand>()
            groups.entries.filter {
                it.value != SlotDemand.NONE
            }.sortedWith(order).forEachIndexed { i, (group, demand) ->
                result.merge(if (i < maxNamed) group else group.rest, demand, SlotDemand::plus)
            }
            return result.toImmutableMap()
        }
    }
}
