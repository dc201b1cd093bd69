package org.berylpoint.entry.pipeline

import kotlinx.coroutines.flow.Flow
import org.berylpoint.model.ResponseEvent
import org.berylpoint.model.ServeRequest

/** Serves decoded requests: admission, deduplication, placement, dispatch, streaming and the answer. */
public fun interface Pipeline {
    /**
     * Returns the answer to [request] as a flow. Cancelling the collection ends an idempotent request: no further
     * attempt is made and a stream is cancelled at its engine, but a running call to a plain service is not
     * interrupted.
     */
    public fun serve(request: ServeRequest): Flow<ResponseEvent>
}
