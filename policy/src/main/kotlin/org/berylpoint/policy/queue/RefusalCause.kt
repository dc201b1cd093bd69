package org.berylpoint.policy.queue

/** Why a request is refused as not run. [text] is for callers and log lines. */
public enum class RefusalCause(public val text: String) {
    /** The requests ahead and the rate at which slots become free leave it no time. */
    CANNOT_START_IN_TIME("cannot start in time"),

    /** It gave way to requests of a more urgent rank. */
    MORE_URGENT_WORK("queue is full of more urgent work"),

    /** Its workspace asks for more than its share of the service. */
    WORKSPACE_SHARE_USED("share of the workspace is used"),
}

/** An entry that the queue gives up; its request is to be refused as not run. */
public data class QueueRefusal<out T>(val entry: QueueEntry<T>, val cause: RefusalCause)

/** Result of [WaitQueue.offer]. */
public sealed interface OfferResult<out T> {
    /** The entry waits. [evicted] are entries of less urgent ranks that gave way to it. */
    public data class Queued<out T>(val evicted: List<QueueRefusal<T>>) : OfferResult<T>

    /** The request is to be refused at once as not run. */
    public data class Refused(val cause: RefusalCause) : OfferResult<Nothing>
}

/** Result of [WaitQueue.dispatch]: entries that were started, and entries whose latest start has passed. */
public data class DispatchResult<out T>(val started: List<QueueEntry<T>>, val expired: List<QueueRefusal<T>>)
