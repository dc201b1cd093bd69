package org.berylpoint.policy.duty

/**
 * A lease as the store keeps it: the instance that holds it, its fencing token, and the time at which it expires by the
 * store's clock.
 */
public data class LeaseRecord(val holder: String, val fencingToken: Long, val expiresAtMillis: Long)

/**
 * A lease as its holder sees it, by its own clocks.
 *
 * The duration counts from before the call that renewed the lease. Both the steady (monotonic) clock and the wall clock
 * must be within it, because the steady clock stops while the machine is suspended; a step of the wall clock can only
 * end the lease early.
 */
public data class HeldLease(
    val fencingToken: Long,
    val renewedSteadyMillis: Long,
    val renewedWallMillis: Long,
    val durationMillis: Long,
) {
    /** Whether the holder may act on the lease: a call that starts now returns before the lease expires. */
    public fun mayAct(steadyMillis: Long, wallMillis: Long): Boolean {
        val age = maxOf(steadyMillis - renewedSteadyMillis, wallMillis - renewedWallMillis)
        return age in 0..durationMillis - ACT_MARGIN_MILLIS
    }

    private companion object {
        /** Longer than any call that the holder makes under the lease. */
        const val ACT_MARGIN_MILLIS = 1_200L
    }
}
