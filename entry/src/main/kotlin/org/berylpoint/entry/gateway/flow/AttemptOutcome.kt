package org.berylpoint.entry.gateway.flow

/** What an attempt that may have run shows of its server's version. */
public enum class AttemptOutcome {
    GOOD,

    /** The server itself responded with an error. */
    ERROR_RESPONSE,

    /** No complete response came, for whatever reason. */
    NO_RESPONSE,
}
