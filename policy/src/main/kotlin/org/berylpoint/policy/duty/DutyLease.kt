package org.berylpoint.policy.duty

/** A lease as it is kept in the store: who holds it, under which fencing number, until when by the store's clock. */
public data class LeaseRecord(val holder: String, val fencingToken: Long, val expiresAtMillis: Long)

/**
 * The holder's view of its lease.
 *
 * The lease is counted from before the call that renewed it. Both the steady clock and the time of day have to be
 * within it, because the steady clock stands still while a machine is suspended; a jump of the time of day can only
 * end the lease early.
 */
public data class HeldLease(
    val fencingToken: Long,
    val renewedSteadyMillis: Long,
    val renewedWallMillis: Long,
    val durationMillis: Long,
) {
    /** Whether the holder may act: a call that starts now ends before the lease does. */
    public fun mayAct(steadyMillis: Long, wallMillis: Long): Boolean {
        val age = maxOf(steadyMillis - renewedSteadyMillis, wallMillis - renewedWallMillis)
        return age in 0..durationMillis - ACT_MARGIN_MILLIS
    }

    private companion object {
        /** Longer than the longest call that the holder makes. */
        const val ACT_MARGIN_MILLIS = 1_200L
    }
}
