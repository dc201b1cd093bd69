package org.berylpoint.policy.queue

import org.berylpoint.policy.share.ShareGroup

/**
 * A request that waits for room. [request] is what the caller of the queue needs to start or refuse it; entries are
 * compared by identity, so each request is offered with an entry of its own.
 */
public class QueueEntry<out T>(
    public val request: T,
    public val group: ShareGroup,
    /** Time for which the request is expected to use a slot, in milliseconds. */
    public val workMillis: Double,
    public val arrivedAtMillis: Long,
    /** Time after which the request cannot be served within its target any more. */
    public val latestStartMillis: Long,
) {
    /** Position within the entries of one workspace that have the same latest start. */
    internal var sequence = 0L
}
