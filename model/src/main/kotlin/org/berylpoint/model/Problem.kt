package org.berylpoint.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why a request failed, in the shape that RFC 9457 gives to `application/problem+json`. */
@Serializable
public data class Problem(
    val kind: ErrorKind,
    val detail: String,
    /** Overrides the kind's run state when the pipeline knows more. */
    @SerialName("ran")
    val runState: RunState = kind.defaultRunState,
)
