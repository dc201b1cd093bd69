package org.berylpoint.model

import kotlinx.serialization.Serializable

/** The move of a request class's traffic to [to], to be complete by a set time. */
@Serializable
public data class VersionMove(
    val from: VersionName,
    val to: VersionName,
    /** Wall-clock time in milliseconds since the epoch. */
    val completeByEpochMillis: Long,
    val state: State = State.RUNNING,
) {
    /** Progress of a move; operators are told when it leaves [RUNNING]. */
    @Serializable
    public enum class State { RUNNING, DONE, TAKEN_BACK }
}
