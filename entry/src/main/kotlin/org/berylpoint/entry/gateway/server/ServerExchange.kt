package org.berylpoint.entry.gateway.server

import org.berylpoint.model.BackendServerId
import kotlin.time.Duration

/** A request as it goes to a backend server: method, target and body are the caller's, byte for byte. */
public class ServerRequest(
    public val id: String,
    public val method: String,
    /** Path and query. */
    public val target: String,
    public val headers: List<Pair<String, String>>,
    public val body: ByteArray,
    /** Whether the answer is a stream of events. */
    public val isStream: Boolean,
    /** Whether only a new connection may carry it, so that no earlier answer can be taken for its own. */
    public val needsNewConnection: Boolean,
)

/** What comes back for a [ServerRequest], in order: a head, parts, and an end; or a failure at any point. */
public sealed interface ServerEvent {
    /** Status and headers other than those of one connection. */
    public class Head(
        public val status: Int,
        public val headers: List<Pair<String, String>>,
        /** Whether the server states that it did not run the request. */
        public val isNotRun: Boolean,
    ) : ServerEvent

    /** One whole event of a stream with its id, or the whole body of another answer. */
    public class Data(public val bytes: ByteArray, public val eventId: Long?) : ServerEvent

    /** The answer is complete. */
    public data object End : ServerEvent

    /** The answer will not be complete. Without [isSent] the server got no byte of the request. */
    public class Failed(public val isSent: Boolean, public val cause: String) : ServerEvent
}

/** One request in progress at a server. */
public interface ServerExchange {
    /** Waits at most [wait] for the next event; null when there is none yet. No event is lost in between. */
    public suspend fun next(wait: Duration): ServerEvent?

    /** Ends the request at once; the server sees its connection close. */
    public fun cancel()
}

/** Sends requests to backend servers. */
public fun interface ServerClient {
    /** Sends [request] to the server [id] at [address] (IP number and port). */
    public fun send(id: BackendServerId, address: String, request: ServerRequest): ServerExchange
}
