package org.berylpoint.entry.gateway.server

/**
 * Why a request that was passed on to be sent must not be sent any more. Time passes before its first byte: for a
 * connection, for a hand-over between threads, for lack of processor time.
 */
public enum class SendObstacle(public val description: String) {
    RESPONSE_NOT_WANTED("the response is not wanted any more"),

    /** The server leaves, or takes no requests for the time being. */
    SERVER_NOT_USABLE("the server takes no requests any more"),

    /** The server may have left without this instance knowing. */
    VIEW_OUT_OF_DATE("the view of the site is out of date"),
}
