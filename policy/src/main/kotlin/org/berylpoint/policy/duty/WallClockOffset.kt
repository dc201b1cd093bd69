package org.berylpoint.policy.duty

/**
 * Offset from this process's steady clock to the true time, in milliseconds: the median of [offsets], which are those
 * to the wall clocks of the instances. Of an even number of offsets the lower of the two middle ones is taken.
 *
 * The median stays correct while fewer than half of the wall clocks have been stepped.
 */
public fun medianClockOffset(offsets: Collection<Long>): Long {
    require(offsets.isNotEmpty()) { "offsets must not be empty" }
    return offsets.sorted()[(offsets.size - 1) / 2]
}
