package org.berylpoint.entry.pipeline

import kotlinx.coroutines.flow.Flow
import org.berylpoint.model.ResponseEvent
import org.berylpoint.model.ServeRequest

/** Serves decoded requests: admit, deduplicate, place, dispatch, stream, answer. */
public fun interface Pipeline {
    /**
     * The answer to [request]. Cancelling the collection ends an idempotent request: no further attempt is made and a
     * stream is cancelled at its engine; a call to a plain service that runs is left to end.
     */
    public fun serve(request: ServeRequest): Flow<ResponseEvent>
}
