package org.berylpoint.policy.duty

/**
 * Offset from this process's steady clock to true time: the median over the instances' own times of day.
 *
 * The median holds while fewer than half of the clocks have jumped.
 */
public fun medianClockOffset(offsets: Collection<Long>): Long {
    require(offsets.isNotEmpty()) { "an offset needs at least one clock" }
    return offsets.sorted()[(offsets.size - 1) / 2]
}
