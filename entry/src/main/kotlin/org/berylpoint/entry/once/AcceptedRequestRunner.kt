package org.berylpoint.entry.once

import org.berylpoint.model.ServeRequest

/** Runs a request that another instance accepted and did not dispatch; its caller is gone. */
public fun interface AcceptedRequestRunner {
    /** Serves [request] as the pipeline does after [OnceDecision.Run], and ends [ticket]. */
    public suspend fun run(request: ServeRequest, ticket: OnceTicket)
}
