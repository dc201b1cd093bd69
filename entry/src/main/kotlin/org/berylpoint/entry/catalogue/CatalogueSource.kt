package org.berylpoint.entry.catalogue

import arrow.core.Either
import kotlinx.coroutines.flow.StateFlow
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.model.Problem

/** The catalogue in force on this instance; its version only grows. */
public interface CatalogueSource {
    /** Null until the first version is known. */
    public val current: StateFlow<Catalogue?>

    /** Commits [update]; the new version once the table service has accepted it. */
    public suspend fun submit(update: CatalogueUpdate): Either<Problem, Long>
}
