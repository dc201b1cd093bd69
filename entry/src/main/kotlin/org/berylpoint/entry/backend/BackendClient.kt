package org.berylpoint.entry.backend

import arrow.core.Either
import kotlinx.coroutines.flow.Flow
import org.berylpoint.model.BackendServer
import org.berylpoint.model.RequestId
import kotlin.time.Duration

/** Sends requests to backend servers. Nothing is retried here. */
public interface BackendClient {
    /**
     * Sends [call] to [server]; the flow gives the parts of the answer and ends with [BackendEvent.End] or
     * [BackendEvent.Broken]. Cancelling the collection cancels the call at the backend server.
     */
    public fun send(server: BackendServer, call: BackendCall): Flow<BackendEvent>

    /** Opens a new connection to [server] and asks for its health; the flag tells whether it is ready for work. */
    public suspend fun probe(server: BackendServer, timeout: Duration): Either<ProbeFailure, Boolean>

    /** Exports the KV cache of a running stream from [server]; null when the engine can't. */
    public suspend fun exportKv(server: BackendServer, request: RequestId): String?

    /** Imports an exported KV cache into [server]; false when the engine can't. */
    public suspend fun importKv(server: BackendServer, handle: String): Boolean
}

/** One HTTP request to a backend server. */
public data class BackendCall(
    val request: RequestId,
    /** Distinguishes the attempts of one request. */
    val attempt: String,
    val method: String,
    val path: String,
    val contentType: String,
    val body: String,
    val idempotencyKey: String?,
    val stream: Boolean,
    val remaining: Duration,
)

/** One part of a backend server's answer. */
public sealed interface BackendEvent {
    public data class Head(val status: Int, val contentType: String) : BackendEvent

    /** The data of one server-sent event, or a piece of a body. */
    public data class Data(val text: String) : BackendEvent

    /** A comment line that only shows that the connection works. */
    public data object KeepAlive : BackendEvent

    public data object End : BackendEvent

    /** The call failed; [sent] tells whether any byte of the request may have reached the server. */
    public data class Broken(val sent: Boolean, val detail: String) : BackendEvent
}

/** Why a probe failed. */
public sealed interface ProbeFailure {
    /** No process listens at the address. */
    public data object Refused : ProbeFailure

    public data object TimedOut : ProbeFailure

    public data class Unhealthy(val detail: String) : ProbeFailure
}
