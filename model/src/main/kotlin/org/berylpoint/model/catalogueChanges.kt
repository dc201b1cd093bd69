package org.berylpoint.model

/** Returns the catalogue with [change] applied and the version unchanged. */
internal fun Catalogue.withChange(change: CatalogueChange): Catalogue = when (change) {
    is CatalogueChange.PutEntry -> copy(entries = entries + (change.entry.name to change.entry))
    is CatalogueChange.RetireEntry -> withoutEntry(change.name)
    is CatalogueChange.TakeOut -> copy(domainsOut = domainsOut + change.domain)
    is CatalogueChange.BringBack -> copy(domainsOut = domainsOut - change.domain)
    is CatalogueChange.MoveTraffic -> withMove(change)
    is CatalogueChange.EndMove -> withEndOfMove(change)
}

/** Removes an entry. A class without entries has no traffic, so its last entry takes the record of its move along. */
private fun Catalogue.withoutEntry(name: EntryName): Catalogue {
    val remaining = copy(entries = entries - name)
    val requestClass = entries[name]?.requestClass ?: return remaining
    val isLast = remaining.entriesOf(requestClass).isEmpty()
    return if (isLast) remaining.copy(moves = moves - requestClass) else remaining
}

private fun Catalogue.withMove(change: CatalogueChange.MoveTraffic): Catalogue {
    val from = sourceVersion(change) ?: return this
    val move = VersionMove(from, change.to, change.completeByEpochMillis)
    return copy(moves = moves + (change.requestClass to move))
}

private fun Catalogue.withEndOfMove(change: CatalogueChange.EndMove): Catalogue {
    val move = moves[change.requestClass] ?: return this
    return copy(moves = moves + (change.requestClass to move.copy(state = change.state)))
}

/** The version that [change] moves traffic away from; if the class has no recorded move, its only other version. */
internal fun Catalogue.sourceVersion(change: CatalogueChange.MoveTraffic): VersionName? =
    if (change.requestClass in moves) {
        servingVersion(change.requestClass)
    } else {
        entriesOf(change.requestClass).map { it.version }.filter { it != change.to }.distinct().singleOrNull()
    }
