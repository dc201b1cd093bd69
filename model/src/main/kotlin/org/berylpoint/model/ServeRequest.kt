package org.berylpoint.model

import kotlin.time.ComparableTimeMark

/** A decoded request of a caller, as it passes through the filters of the pipeline. */
public data class ServeRequest(
    val id: RequestId,
    val workspace: Workspace,
    val requestClass: RequestClass,
    val kind: ServiceKind,
    /** HTTP method for the backend server. */
    val method: String,
    /** Path and query for the backend server; its path is the route in evidence. */
    val path: String,
    val contentType: String,
    /** Body as received, UTF-8. */
    val body: String,
    val idempotencyKey: IdempotencyKey?,
    /** The time by which the whole answer is due, on the clock of this process. */
    val deadline: ComparableTimeMark,
    /** Whether the caller wants server-sent events. */
    val stream: Boolean,
    val fingerprint: Fingerprint,
)
