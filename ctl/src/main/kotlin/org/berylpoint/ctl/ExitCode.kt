package org.berylpoint.ctl

import org.berylpoint.model.ErrorKind

/** How `berylctl` ends; scripts rely on the numbers. */
internal enum class ExitCode(val code: Int, val meaning: String) {
    OK(0, "done"),
    USAGE(1, "wrong command line"),
    INVALID(2, "the catalogue file or the update is not valid; nothing was changed"),
    UNAVAILABLE(3, "no instance could be reached, or it can't do this now; nothing was changed"),
    CONFLICT(4, "another change came first; nothing was changed"),
    NOT_IN_FORCE(5, "accepted, but not confirmed by every instance within the time of --wait"),
    UNKNOWN(6, "the outcome is unknown: read the catalogue"),
    UNAUTHENTICATED(7, "the token was refused"),
    DIFFERS(8, "catalogue diff: the file and the catalogue in force differ"),
    FAILED(9, "the instance refused the call for another reason"),
    ;

    companion object {
        fun of(kind: ErrorKind): ExitCode = when (kind) {
            ErrorKind.InvalidCatalogue -> INVALID
            ErrorKind.VersionConflict -> CONFLICT
            ErrorKind.Unauthenticated -> UNAUTHENTICATED
            ErrorKind.OutcomeUnknown, ErrorKind.Internal -> UNKNOWN
            ErrorKind.StoreUnavailable, ErrorKind.NotReady, ErrorKind.NoBackend, ErrorKind.ShuttingDown -> UNAVAILABLE
            else -> FAILED
        }
    }
}
