package org.berylpoint.entry.gateway.queue

import org.berylpoint.entry.gateway.server.ServerReservation
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.serving.Service
import org.berylpoint.policy.placement.PlacementRequest
import org.berylpoint.policy.share.ShareGroup

/** What a request asks of [RequestQueues.place]. Times are on the steady clock, in milliseconds. */
internal class QueuedRequest(
    val service: Service,
    val group: ShareGroup,
    val placement: PlacementRequest,
    /** Servers that the request does not go to again. */
    val excluded: Set<BackendServerId>,
    /** Time for which it is expected to use a slot, in milliseconds. */
    val workMillis: Double,
    val arrivedAtMillis: Long,
    /** Time after which it cannot be served within its target any more. */
    val latestStartMillis: Long,
    /** Longest time for which it waits for servers that name a time themselves. */
    val maxNamedWaitMillis: Long,
    /** Whether it was sent to a server before: its work is lost if it is refused, so that no share limits it. */
    val isRetry: Boolean,
)

/** Result of [RequestQueues.place]. */
internal sealed interface QueueOutcome {
    class Reserved(val reservation: ServerReservation) : QueueOutcome

    /** The request has not run; [reason] is a label of few values, [cause] is for the log. */
    class Refused(val reason: String, val cause: String, val retryAfterMillis: Long) : QueueOutcome
}
