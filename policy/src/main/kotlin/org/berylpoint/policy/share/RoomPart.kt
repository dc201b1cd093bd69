package org.berylpoint.policy.share

import kotlin.math.floor

/**
 * An instance's part of the free room of each server: the interval from [from] to [to] of the room, where the whole is
 * the interval from 0 to 1. The parts of all instances that know the same reports cover the whole without overlap.
 */
public data class RoomPart(val from: Double, val to: Double) {
    /**
     * Number of the first [slots] whole slots that fall into the part, if the first one lies at [offset] (from 0 to 1)
     * of a slot. Instances that use the same offset take each slot once.
     */
    internal fun wholeSlots(slots: Double, offset: Double): Int =
        (floor(slots * to + offset) - floor(slots * from + offset)).toInt()

    public companion object {
        public val ALL: RoomPart = RoomPart(0.0, 1.0)
    }
}
