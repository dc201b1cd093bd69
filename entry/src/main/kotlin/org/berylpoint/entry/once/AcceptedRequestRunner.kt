package org.berylpoint.entry.once

import org.berylpoint.model.ServeRequest

/** Runs a request that another instance accepted but did not dispatch. No caller is connected to it any more. */
public fun interface AcceptedRequestRunner {
    /** Serves [request] as the pipeline does after [OnceDecision.Run] and completes or abandons [ticket]. */
    public suspend fun run(request: ServeRequest, ticket: OnceTicket)
}
