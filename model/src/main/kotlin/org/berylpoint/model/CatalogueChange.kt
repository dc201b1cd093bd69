package org.berylpoint.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One step that an operator, or for [EndMove] the system, makes to the catalogue.
 *
 * The serial names are stored in the table service, so they stay the same when a class is renamed.
 */
@Serializable
public sealed interface CatalogueChange {
    /** Adds an entry or replaces the one of the same name. */
    @Serializable
    @SerialName("put-entry")
    public data class PutEntry(val entry: CatalogueEntry) : CatalogueChange

    /** Removes an entry; its backend servers get no new work and finish what they run. */
    @Serializable
    @SerialName("retire-entry")
    public data class RetireEntry(val name: EntryName) : CatalogueChange

    /** Stops new work to a failure domain. */
    @Serializable
    @SerialName("take-out")
    public data class TakeOut(val domain: FailureDomain) : CatalogueChange

    /** Allows new work to a failure domain again. */
    @Serializable
    @SerialName("bring-back")
    public data class BringBack(val domain: FailureDomain) : CatalogueChange

    /** Starts the move of a class's traffic to a version by a wall-clock time in milliseconds since the epoch. */
    @Serializable
    @SerialName("move-traffic")
    public data class MoveTraffic(
        val requestClass: RequestClass,
        val to: VersionName,
        val completeByEpochMillis: Long,
    ) : CatalogueChange

    /** Records how a move ended. */
    @Serializable
    @SerialName("end-move")
    public data class EndMove(val requestClass: RequestClass, val state: VersionMove.State) : CatalogueChange
}

/** Changes that take force together as version [expectedVersion] + 1, or not at all. */
@Serializable
public data class CatalogueUpdate(
    val expectedVersion: Long,
    val changes: List<CatalogueChange>,
    /** Who made it, for the record. */
    val author: String = "",
)
