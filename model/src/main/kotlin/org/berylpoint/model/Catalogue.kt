package org.berylpoint.model

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

    /** Whether new work may go to servers in [domain]. */
    public fun isInService(domain: FailureDomain): Boolean = domain !in domainsOut
}
