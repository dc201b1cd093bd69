package org.berylpoint.policy.share

/** What one group asks of a service, in slots. */
public data class SlotDemand(
    /** Requests that run at servers. */
    val running: Int,
    /** Requests that wait in a queue. */
    val waiting: Double,
    /** Slots that the requests refused within the last second or so would have used. */
    val refused: Double,
) {
    /** Slots that the group would use if there were enough. */
    public val total: Double get() = running + waiting + refused

    /**
     * Slots that the group would use in the long run. Requests that wait mostly run or are refused later and count
     * then; counted in full, a group that only waits a little would seem to ask for more than its share.
     */
    public val sustained: Double get() = running + refused + waiting * WAITING_WEIGHT

    public operator fun plus(other: SlotDemand): SlotDemand =
        SlotDemand(running + other.running, waiting + other.waiting, refused + other.refused)

    public companion object {
        public val NONE: SlotDemand = SlotDemand(0, 0.0, 0.0)
        private const val WAITING_WEIGHT = 0.25
    }
}
