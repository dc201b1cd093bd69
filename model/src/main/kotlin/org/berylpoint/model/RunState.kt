package org.berylpoint.model

import kotlinx.serialization.Serializable

/** Whether a request reached a backend server, as reported to the caller in the problem's `ran` member. */
@Serializable
public enum class RunState(
    /** Value of the `ran` member. */
    public val wireName: String,
) {
    /** No byte of the request was sent to any backend server. */
    NOT_RUN("not-run"),

    /** A backend server may or may not have run the request. */
    UNKNOWN("unknown"),

    /** A backend server ran the request, in part or in full. */
    RAN("ran"),
}
