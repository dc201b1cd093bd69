package org.berylpoint.model

/** One part of an answer: a [Head], then [Data] in order, then [End]; or a [Failed] in place of the rest. */
public sealed interface ResponseEvent {
    /** Status and content type; comes first. */
    public data class Head(val status: Int, val contentType: String) : ResponseEvent

    /** A piece of the body, or the data of one server-sent event. */
    public data class Data(val text: String) : ResponseEvent

    /** The answer is complete. */
    public data object End : ResponseEvent

    /** The answer can't be given, or can't be completed. */
    public data class Failed(val problem: Problem) : ResponseEvent
}
