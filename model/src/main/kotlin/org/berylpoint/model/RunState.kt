package org.berylpoint.model

import kotlinx.serialization.Serializable

/** Whether a request reached a backend server, as told to the caller in the problem's `ran` member. */
@Serializable
public enum class RunState(
    /** The word used on the wire. */
    public val wireName: String,
) {
    /** No byte of it was sent to any backend server. */
    NOT_RUN("not-run"),

    /** It may or may not have run. */
    UNKNOWN("unknown"),

    /** It ran, in part or in full. */
    RAN("ran"),
}
