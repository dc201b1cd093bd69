package org.berylpoint.entry.gateway.server

import org.berylpoint.model.BackendServerId
import kotlin.time.Duration

/** A request to a backend server. Method, target and body are those of the caller, byte for byte. */
public class ServerRequest(
    public val id: String,
    public val method: String,
    /** Path and query. */
    public val target: String,
    public val headers: List<Pair<String, String>>,
    public val body: ByteArray,
    /** Whether the response is a stream of server-sent events. */
    public val isStream: Boolean,
    /** Whether to open a new connection, so that a response to an earlier request can't be mistaken for this one's. */
    public val needsNewConnection: Boolean,
    /** Finds what forbids to send the request now; asked right before its first byte, on any thread. */
    public val findObstacle: () -> SendObstacle? = { null },
)

/**
 * An event of the response to a [ServerRequest], in order: [Head], any number of [Data], and [End]; or [Failed] at any
 * point; or only [Withheld].
 */
public sealed interface ServerEvent {
    /** Status, and headers without the hop-by-hop ones. */
    public class Head(
        public val status: Int,
        public val headers: List<Pair<String, String>>,
        /** Whether the server states that it did not run the request. */
        public val isNotRun: Boolean,
        /** Whether the body is a stream of server-sent events, and not another response to a request for one. */
        public val isEventStream: Boolean = false,
        /** Whether the server states that it is going to end. */
        public val isServerLeaving: Boolean = false,
        /** Time for which the server wants no requests from this instance; null if it names none. */
        public val retryAfterMillis: Long? = null,
        /** Requests per second that the server takes from all instances together; null if it names none. */
        public val requestsPerSecond: Double? = null,
    ) : ServerEvent

    /**
     * One event of a stream with its id, or the complete body of any other response. The bytes after the last complete
     * event of a stream come as a [Data] of their own.
     */
    public class Data(public val bytes: ByteArray, public val eventId: Long?) : ServerEvent

    /** The response is complete. */
    public data object End : ServerEvent

    /** The response will not be completed. If not [isSent], the server got no byte of the request. */
    public class Failed(public val isSent: Boolean, public val cause: String) : ServerEvent

    /** Nothing of the request was sent, for a reason that says nothing of the connection to the server. */
    public class Withheld(public val obstacle: SendObstacle) : ServerEvent
}

/** One request in progress at a server. */
public interface ServerExchange {
    /** Waits at most [timeout] for the next event; null if none arrived. An event that arrives later is not lost. */
    public suspend fun next(timeout: Duration): ServerEvent?

    /** Cancels the request at once by closing the connection to the server. */
    public fun cancel()
}

/** Sends requests to backend servers. */
public fun interface ServerClient {
    /** Sends [request] to the server [id] at [address] (IP address and port). */
    public fun send(id: BackendServerId, address: String, request: ServerRequest): ServerExchange
}
