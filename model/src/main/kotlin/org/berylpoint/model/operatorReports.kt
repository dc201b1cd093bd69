package org.berylpoint.model

import kotlinx.serialization.Serializable

/**
 * Response of `GET /operator/status`: the entry instances in the membership view of the answering instance, and
 * whether each has confirmed the catalogue's version.
 */
@Serializable
public data class StatusReport(
    /** Catalogue version in force on the answering instance. */
    val version: Long,
    val answeredBy: InstanceId,
    val instances: List<InstanceReport>,
    val domainsOut: Set<FailureDomain> = emptySet(),
    val moves: List<MoveReport> = emptyList(),
) {
    /** The instances that have not confirmed catalogue version [version]. */
    public val unconfirmed: List<InstanceId> get() = instances.filterNot { it.isConfirmed }.map { it.instance.id }
}

/** Status of one entry instance. */
@Serializable
public data class InstanceReport(
    val instance: Instance,
    /** Whether the answering instance has received a message from it within the suspicion time. */
    val isAlive: Boolean,
    /** Catalogue version that the instance has confirmed; 0 if it has confirmed none. */
    val catalogueVersion: Long,
    val isConfirmed: Boolean,
)

/** The traffic move of one request class. */
@Serializable
public data class MoveReport(
    val requestClass: RequestClass,
    val move: VersionMove,
    /** Share of the traffic that each version gets, from 0 to 1. */
    val shares: Map<VersionName, Double> = emptyMap(),
)

/** Response of `POST /operator/catalogue`: the version that the update created. */
@Serializable
public data class AcceptedVersion(val version: Long)
