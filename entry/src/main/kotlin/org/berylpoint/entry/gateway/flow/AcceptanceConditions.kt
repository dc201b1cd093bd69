package org.berylpoint.entry.gateway.flow

/** What the process around a [RequestFlow] says of whether it can serve one more request. */
public class AcceptanceConditions(
    /** Whether the instance is about to stop, so that a new request might be cut off. */
    public val isLeaving: () -> Boolean = { false },
    /** Whether the instance has the processor time for one more request of a rank; 0 is the most urgent. */
    public val hasProcessorTime: (rank: Int) -> Boolean = { true },
    /** Milliseconds until the process ends; null unless it is stopping. */
    public val remainingMillis: () -> Long? = { null },
    /** How late the process gets its turns, so that bytes of a request may have waited unread. */
    public val lagMillis: () -> Long = { 0 },
    /** Whether the view of the site may lack a change that has to be in force. */
    public val isViewOld: () -> Boolean = { false },
    /** Whether the view of the site is old although something newer is there to be known. */
    public val isViewOutOfDate: () -> Boolean = { false },
)
