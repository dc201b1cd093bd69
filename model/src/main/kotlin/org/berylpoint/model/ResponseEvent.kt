package org.berylpoint.model

/**
 * An event of the response to a caller: a [Head], then the [Data] events in order, then [End].
 *
 * A [Failed] event takes the place of those that are still to come and is the last one.
 */
public sealed interface ResponseEvent {
    /** HTTP status and content type. */
    public data class Head(val status: Int, val contentType: String) : ResponseEvent

    /** A chunk of the body, or the data of one server-sent event. */
    public data class Data(val text: String) : ResponseEvent

    /** The response is complete. */
    public data object End : ResponseEvent

    /** The request failed before the response or partway through it. */
    public data class Failed(val problem: Problem) : ResponseEvent
}
