package org.berylpoint.entry.pipeline

import kotlinx.coroutines.flow.Flow
import org.berylpoint.model.AnswerEvent
import org.berylpoint.model.ServeRequest

/** Serves decoded requests: admit, deduplicate, place, dispatch, stream, answer. */
public fun interface Pipeline {
    /** The answer to [request]; cancelling the collection cancels an idempotent request. */
    public fun serve(request: ServeRequest): Flow<AnswerEvent>
}
