package org.berylpoint.model

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import kotlinx.serialization.Serializable

/**
 * One version of the whole configuration. Immutable: [apply] gives the next version.
 *
 * Versions grow by one with each accepted update; an instance never replaces a higher one by a lower one.
 */
@Serializable
public data class Catalogue(
    val version: Long = 0,
    val entries: Map<EntryName, CatalogueEntry> = emptyMap(),
    val domainsOut: Set<FailureDomain> = emptySet(),
    val moves: Map<RequestClass, VersionMove> = emptyMap(),
) {
    /** The entries of a request class, one per version. */
    public fun entriesOf(requestClass: RequestClass): List<CatalogueEntry> =
        entries.values.filter { it.requestClass == requestClass }

    /** The failure domains that some server of the catalogue lies in, or that are out of service. */
    public val domains: Set<FailureDomain>
        get() = entries.values.flatMapTo(domainsOut.toMutableSet()) { entry -> entry.servers.map { it.failureDomain } }

    /** The version that serves a class outside of a running move; null if no entry or more than one could. */
    public fun servingVersion(requestClass: RequestClass): VersionName? {
        val move = moves[requestClass] ?: return entriesOf(requestClass).singleOrNull()?.version
        return if (move.state == VersionMove.State.DONE) move.to else move.from
    }

    /**
     * Checks [update] and gives the next version, or every fault of the update; nothing is half-applied.
     *
     * A domain is known if it is in [domains] or [instanceDomains], which callers fill with the domains of the entry
     * instances: the catalogue does not list servers that only the platform knows.
     */
    public fun apply(
        update: CatalogueUpdate,
        instanceDomains: Set<FailureDomain> = emptySet(),
    ): Either<NonEmptyList<CatalogueFault>, Catalogue> =
        CatalogueUpdateValidator(this, update, instanceDomains).faults().toNonEmptyListOrNull()?.left()
            ?: replay(update).right()

    /** The next version after an [update] that was checked before it was committed; checks nothing. */
    public fun replay(update: CatalogueUpdate): Catalogue =
        update.changes.fold(this) { catalogue, change -> catalogue.withChange(change) }.copy(version = version + 1)

    /** Whether new work may go to servers in [domain]. */
    public fun isInService(domain: FailureDomain): Boolean = domain !in domainsOut
}
