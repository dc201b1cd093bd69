package org.berylpoint.model

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import kotlinx.serialization.Serializable

/**
 * One version of the service configuration that operators maintain. Immutable: [apply] returns the next version.
 *
 * Each accepted update increments the version by one; an instance never replaces a higher version by a lower one.
 */
@Serializable
public data class Catalogue(
    val version: Long = 0,
    val entries: Map<EntryName, CatalogueEntry> = emptyMap(),
    /** Failure domains that are out of service. */
    val domainsOut: Set<FailureDomain> = emptySet(),
    /** The latest traffic move of each request class, running or ended. */
    val moves: Map<RequestClass, VersionMove> = emptyMap(),
) {
    /** The entries of a request class, one per version. */
    public fun entriesOf(requestClass: RequestClass): List<CatalogueEntry> =
        entries.values.filter { it.requestClass == requestClass }

    /** The failure domains of all servers in the catalogue, and those that are out of service. */
    public val domains: Set<FailureDomain>
        get() = entries.values.flatMapTo(domainsOut.toMutableSet()) { entry -> entry.servers.map { it.failureDomain } }

    /**
     * The version that serves [requestClass], or its source version during a running move.
     *
     * Null if the class has no recorded move and not exactly one entry.
     */
    public fun servingVersion(requestClass: RequestClass): VersionName? {
        val move = moves[requestClass] ?: return entriesOf(requestClass).singleOrNull()?.version
        return if (move.state == VersionMove.State.DONE) move.to else move.from
    }

    /**
     * Validates [update] and returns the next version, or all faults of the update; it is never applied in part.
     *
     * An update may refer to the failure domains in [domains] and in [instanceDomains], the domains of the entry
     * instances: servers that only the platform lists are not in the catalogue, so [domains] can lack theirs.
     */
    public fun apply(
        update: CatalogueUpdate,
        instanceDomains: Set<FailureDomain> = emptySet(),
    ): Either<NonEmptyList<CatalogueFault>, Catalogue> =
        CatalogueUpdateValidator(this, update, instanceDomains).faults().toNonEmptyListOrNull()?.left()
            ?: replay(update).right()

    /** Applies an [update] that was validated before it was committed, without validating it again. */
    public fun replay(update: CatalogueUpdate): Catalogue =
        update.changes.fold(this) { catalogue, change -> catalogue.withChange(change) }.copy(version = version + 1)

    /** Whether new requests may be sent to servers in [domain]. */
    public fun isInService(domain: FailureDomain): Boolean = domain !in domainsOut
}
