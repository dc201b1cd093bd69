package org.berylpoint.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why a request failed, as reported to the caller in an `application/problem+json` object (RFC 9457). */
@Serializable
public data class Problem(
    val kind: ErrorKind,
    val detail: String,
    /** Differs from the default of [kind] when the pipeline knows more about this request. */
    @SerialName("ran")
    val runState: RunState = kind.defaultRunState,
)
