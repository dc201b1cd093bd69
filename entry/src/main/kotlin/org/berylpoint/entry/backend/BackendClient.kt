package org.berylpoint.entry.backend

import arrow.core.Either
import kotlinx.coroutines.flow.Flow
import org.berylpoint.model.BackendServer
import org.berylpoint.model.RequestId
import kotlin.time.Duration

/** Sends requests to backend servers, without retries. */
public interface BackendClient {
    /**
     * Sends [call] to [server]. The flow emits the parts of the response and ends with [BackendEvent.End] or
     * [BackendEvent.Broken]. Cancelling the collection cancels the call at the backend server.
     */
    public fun send(server: BackendServer, call: BackendCall): Flow<BackendEvent>

    /** Opens a new connection to [server] and requests its health; returns whether the server is ready for requests. */
    public suspend fun probe(server: BackendServer, timeout: Duration): Either<ProbeFailure, Boolean>

    /** Exports the KV cache of a running stream from [server]; returns null if the engine can't. */
    public suspend fun exportKv(server: BackendServer, request: RequestId): String?

    /** Imports an exported KV cache into [server]; returns false if the engine can't. */
    public suspend fun importKv(server: BackendServer, handle: String): Boolean
}

/** One HTTP request to a backend server. */
public data class BackendCall(
    val request: RequestId,
    /** Id of the attempt, which distinguishes the attempts of one request. */
    val attempt: String,
    val method: String,
    val path: String,
    val contentType: String,
    val body: String,
    val idempotencyKey: String?,
    val stream: Boolean,
    val remaining: Duration,
    /** Whether the server still takes the request, asked right before its first byte, on any thread. */
    val isStillAccepted: () -> Boolean = { true },
)

/** One part of the response of a backend server. */
public sealed interface BackendEvent {
    public data class Head(val status: Int, val contentType: String) : BackendEvent

    /** The data of one server-sent event, or a piece of a body that is not an event stream. */
    public data class Data(val text: String) : BackendEvent

    /** A comment line of an event stream, which only shows that the connection works. */
    public data object KeepAlive : BackendEvent

    public data object End : BackendEvent

    /** The call failed; [sent] is whether any byte of the request may have reached the server. */
    public data class Broken(val sent: Boolean, val detail: String) : BackendEvent
}

/** Why a probe failed. */
public sealed interface ProbeFailure {
    /** The server refused the connection: no process listens at the address. */
    public data object Refused : ProbeFailure

    public data object TimedOut : ProbeFailure

    public data class Unhealthy(val detail: String) : ProbeFailure
}
