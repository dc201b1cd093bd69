package org.berylpoint.model

import kotlinx.serialization.Serializable

/**
 * All kinds of errors that are reported to callers and operators. The constant's name is the `kind` member of the
 * problem object.
 *
 * [status] is the HTTP status, [defaultRunState] the run state unless the pipeline knows that a backend server was
 * reached, [retryable] whether the caller may usefully send the same request again.
 */
@Serializable
public enum class ErrorKind(
    public val status: Int,
    public val defaultRunState: RunState,
    public val retryable: Boolean,
    public val title: String,
) {
    MalformedRequest(400, RunState.NOT_RUN, false, "the request is malformed"),
    KeyRequired(400, RunState.NOT_RUN, false, "a non-idempotent request needs an Idempotency-Key"),
    Unauthenticated(401, RunState.NOT_RUN, false, "the caller is not authenticated"),
    UnknownClass(404, RunState.NOT_RUN, false, "no catalogue entry serves this request class"),
    VersionConflict(409, RunState.NOT_RUN, false, "the catalogue has another version than expected"),
    TooLarge(413, RunState.NOT_RUN, false, "the request is too large"),
    KeyReused(422, RunState.NOT_RUN, false, "the Idempotency-Key was used with another body"),
    InvalidCatalogue(422, RunState.NOT_RUN, false, "the catalogue update is not valid"),
    Quarantined(422, RunState.NOT_RUN, false, "the request crashed the backend servers that ran it"),
    Overloaded(429, RunState.NOT_RUN, true, "no capacity within the deadline"),
    CapExceeded(429, RunState.NOT_RUN, true, "the workspace has used up its cap"),
    NoCapacity(503, RunState.NOT_RUN, true, "no backend server can start the request in time"),
    NoBackend(503, RunState.NOT_RUN, true, "no backend server is available"),
    StoreUnavailable(503, RunState.NOT_RUN, true, "the table service is unavailable"),
    ShuttingDown(503, RunState.NOT_RUN, true, "the instance is shutting down"),
    NotReady(503, RunState.NOT_RUN, true, "the instance has no catalogue yet"),
    OutcomeUnknown(502, RunState.UNKNOWN, false, "the outcome of the request is unknown"),
    BackendFailed(502, RunState.RAN, false, "the backend server failed"),
    DeadlineExceeded(504, RunState.NOT_RUN, false, "the deadline passed"),
    Internal(500, RunState.UNKNOWN, false, "internal error"),
}
