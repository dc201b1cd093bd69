package org.berylpoint.model

import kotlinx.serialization.Serializable

/** What `GET /operator/status` gives: the known instances and whether each has confirmed the catalogue's version. */
@Serializable
public data class StatusReport(
    /** Version in force on the instance that answers. */
    val version: Long,
    val answeredBy: InstanceId,
    val instances: List<InstanceReport>,
    val domainsOut: Set<FailureDomain> = emptySet(),
    val moves: List<MoveReport> = emptyList(),
) {
    /** The instances that have not confirmed [version]. */
    public val unconfirmed: List<InstanceId> get() = instances.filterNot { it.isConfirmed }.map { it.instance.id }
}

/** One known entry instance. */
@Serializable
public data class InstanceReport(
    val instance: Instance,
    /** Whether it was heard from lately. */
    val isAlive: Boolean,
    /** Version that it has confirmed; 0 if it was not heard from. */
    val catalogueVersion: Long,
    val isConfirmed: Boolean,
)

/** The move of one request class with the shares of traffic that its versions get. */
@Serializable
public data class MoveReport(
    val requestClass: RequestClass,
    val move: VersionMove,
    val shares: Map<VersionName, Double> = emptyMap(),
)

/** What `POST /operator/catalogue` gives: the accepted version. */
@Serializable
public data class AcceptedVersion(val version: Long)
