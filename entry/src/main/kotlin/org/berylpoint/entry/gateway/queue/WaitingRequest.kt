package org.berylpoint.entry.gateway.queue

import kotlinx.coroutines.CompletableDeferred
import org.berylpoint.entry.gateway.server.ServerReservation
import org.berylpoint.policy.queue.QueueEntry

/** A request in a [ServiceQueue]; changed by the tasks of the queue only, apart from [outcome]. */
internal class WaitingRequest(val request: QueuedRequest, val latestStartMillis: Long) {
    val entry = QueueEntry(this, request.group, request.workMillis, request.arrivedAtMillis, latestStartMillis)
    val outcome = CompletableDeferred<QueueOutcome>()
    var reservation: ServerReservation? = null

    /** Why the last try found no server, if waiting for a slot can't help. */
    var obstacle: Obstacle? = null

    /** Whether the caller has left, so that nobody takes the outcome. */
    var isAbandoned = false

    /** Time after which the next try may succeed, by what servers have named; null if only events tell. */
    @Volatile
    var retryAfterMillis: Long? = null
}

/** What keeps a request from all servers other than that they are busy. */
internal sealed interface Obstacle {
    data object NoServer : Obstacle

    /** All servers have named times in which they take nothing, the shortest of which ends after [waitMillis]. */
    class NamedWait(val waitMillis: Long) : Obstacle
}
