package org.berylpoint.model

import kotlinx.serialization.Serializable

/** A gradual move of a request class's traffic from version [from] to [to], to be complete by a set time. */
@Serializable
public data class VersionMove(
    val from: VersionName,
    val to: VersionName,
    /** Wall-clock time by which the move is to be complete, in milliseconds since the epoch. */
    val completeByEpochMillis: Long,
    val state: State = State.RUNNING,
) {
    /** Progress of a move; operators are notified when it leaves [RUNNING]. */
    @Serializable
    public enum class State {
        RUNNING,

        /** Version [to] serves the class. */
        DONE,

        /** The move was rolled back: version [from] serves the class. */
        TAKEN_BACK,
    }
}
