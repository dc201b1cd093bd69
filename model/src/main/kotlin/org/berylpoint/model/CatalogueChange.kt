package org.berylpoint.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One change to the catalogue, made by an operator or, for [EndMove], by the system itself.
 *
 * The serial names are stored in the table service, so they must not change when a class is renamed.
 */
@Serializable
public sealed interface CatalogueChange {
    /** Adds an entry or replaces the entry of the same name. */
    @Serializable
    @SerialName("put-entry")
    public data class PutEntry(val entry: CatalogueEntry) : CatalogueChange

    /** Removes an entry; its backend servers get no new requests and finish those in flight. */
    @Serializable
    @SerialName("retire-entry")
    public data class RetireEntry(val name: EntryName) : CatalogueChange

    /** Takes a failure domain out of service: its servers get no new requests. */
    @Serializable
    @SerialName("take-out")
    public data class TakeOut(val domain: FailureDomain) : CatalogueChange

    /** Returns a failure domain to service. */
    @Serializable
    @SerialName("bring-back")
    public data class BringBack(val domain: FailureDomain) : CatalogueChange

    /**
     * Starts moving the traffic of a class to another version, to be complete by a wall-clock time in milliseconds
     * since the epoch. If a move to the same version is running, sets its time.
     */
    @Serializable
    @SerialName("move-traffic")
    public data class MoveTraffic(
        val requestClass: RequestClass,
        val to: VersionName,
        val completeByEpochMillis: Long,
    ) : CatalogueChange

    /** Records that a move was completed or rolled back. */
    @Serializable
    @SerialName("end-move")
    public data class EndMove(val requestClass: RequestClass, val state: VersionMove.State) : CatalogueChange
}

/** Changes that take effect together as version [expectedVersion] + 1, or not at all. */
@Serializable
public data class CatalogueUpdate(
    val expectedVersion: Long,
    val changes: List<CatalogueChange>,
    /** Who made the update; stored with it. */
    val author: String = "",
)
