package org.berylpoint.model

import kotlin.time.ComparableTimeMark

/** A decoded request from a caller, as processed by the filters of the pipeline. */
public data class ServeRequest(
    val id: RequestId,
    val workspace: Workspace,
    val requestClass: RequestClass,
    val kind: ServiceKind,
    /** HTTP method of the request to the backend server. */
    val method: String,
    /** Path and query of the request to the backend server; the path alone is the route in outcome records. */
    val path: String,
    val contentType: String,
    /** Request body as received, decoded as UTF-8. */
    val body: String,
    val idempotencyKey: IdempotencyKey?,
    /** Time by which the response must be complete, on the monotonic clock of this process. */
    val deadline: ComparableTimeMark,
    /** Whether the caller asked for server-sent events. */
    val stream: Boolean,
    val fingerprint: Fingerprint,
)
