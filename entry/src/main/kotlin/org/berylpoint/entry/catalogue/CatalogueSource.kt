package org.berylpoint.entry.catalogue

import arrow.core.Either
import kotlinx.coroutines.flow.StateFlow
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.Problem

/** Access to the catalogue in force on this instance, that is, the one that requests are served by. */
public interface CatalogueSource {
    /** The catalogue in force, whose version never decreases; null until the start-up has loaded one. */
    public val current: StateFlow<Catalogue?>

    /**
     * Commits [update] and returns the new version once the table service has accepted it.
     *
     * Fails with [ErrorKind.VersionConflict] if the catalogue does not have the expected version, with
     * [ErrorKind.InvalidCatalogue] if the update has faults or is too large, with [ErrorKind.NotReady] before a
     * catalogue is known, with [ErrorKind.StoreUnavailable] if the table service did not execute the commit, and with
     * [ErrorKind.OutcomeUnknown] if it may have executed it.
     */
    public suspend fun submit(update: CatalogueUpdate): Either<Problem, Long>
}
