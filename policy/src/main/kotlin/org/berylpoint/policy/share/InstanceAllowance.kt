package org.berylpoint.policy.share

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/** Share of one group, over all instances and at this one. All values are in slots. */
public data class GroupShare(
    /** Slots that the group gets at all instances. */
    val share: Double,
    /** Slots that the group asks for at all instances. */
    val demand: Double,
    /** Slots that the group may use at this instance while others wait; the weight of its queue. */
    val portion: Double,
) {
    /** Whether the group asks for clearly more than its share. */
    public val isLimited: Boolean get() = demand > share * LIMIT_TOLERANCE + ROUNDING_ERROR

    private companion object {
        const val ROUNDING_ERROR = 1e-6

        /** The demand of a group within its share varies by about this factor, since requests come in clusters. */
        const val LIMIT_TOLERANCE = 1.1
    }
}

/**
 * What this instance may run of a service until the next round of reports.
 *
 * The limit applies to all groups together that ask for more than their share. Each of them is bounded by the order in
 * which the queue starts them, with [GroupShare.portion] as weights, so that a slot that one does not ask for goes to
 * another.
 */
public data class InstanceAllowance(
    /** Whether demand exceeds the capacity. If not, nothing is limited. */
    val isLimited: Boolean,
    /** Requests of all limited groups that the instance may run; the largest value while nothing is limited. */
    val limit: Int,
    /** Shares of the groups as they are listed in reports. */
    val groups: ImmutableMap<ShareGroup, GroupShare>,
    /** The free slots of each server that this instance may take; see [RoomShare]. */
    val room: RoomPart,
    /** Portion in slots of a group that no report lists by name, by rank; the last value applies to all behind it. */
    val defaultPortions: ImmutableList<Double>,
) {
    /**
     * Whether requests of [group] count towards [limit]. Others may start wherever there is room: the capacity was
     * reduced by what they use at all instances, which varies less than what they use at one.
     */
    public fun isLimited(group: ShareGroup): Boolean =
        isLimited && (groups.isEmpty() || (groups[group] ?: groups[group.rest])?.isLimited == true)

    /** Slots that [group] may use at this instance while others of its rank wait. */
    public fun portionOf(group: ShareGroup): Double =
        groups[group]?.portion ?: defaultPortions[group.rank.coerceIn(defaultPortions.indices)]

    /** The share of [group], or that of the sum to which the group belongs; null if neither is known. */
    public fun shareOf(group: ShareGroup): GroupShare? = groups[group] ?: groups[group.rest]

    public companion object {
        /** Limits nothing; for a service that only this instance uses. */
        public val UNLIMITED: InstanceAllowance =
            InstanceAllowance(false, Int.MAX_VALUE, persistentMapOf(), RoomPart.ALL, persistentListOf(1.0))
    }
}
