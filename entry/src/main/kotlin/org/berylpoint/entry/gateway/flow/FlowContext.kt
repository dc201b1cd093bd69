package org.berylpoint.entry.gateway.flow

import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.GatewayMetrics
import org.berylpoint.entry.gateway.caller.CallerExchange
import org.berylpoint.entry.gateway.queue.RequestQueues
import org.berylpoint.entry.gateway.queue.SlotWork
import org.berylpoint.entry.gateway.server.ServerClient
import org.berylpoint.entry.gateway.server.ServerLimits
import org.berylpoint.entry.gateway.server.ServerNotices
import org.berylpoint.entry.gateway.server.ServerPool
import org.berylpoint.platform.wire.RequestHeaders

/** What the serving of every request uses. */
internal class FlowContext(
    val clocks: Clocks,
    val queues: RequestQueues,
    val client: ServerClient,
    val notices: ServerNotices,
    val limits: ServerLimits,
    val counts: SharedCounts,
    val versions: VersionOutcomes,
    val quarantine: PromptQuarantine,
    val log: DecisionLog,
    val metrics: GatewayMetrics,
    val admission: Admission,
    val conditions: AcceptanceConditions,
) {
    val pool: ServerPool get() = queues.pool
    val durations = RouteDurations()
    val work = SlotWork()

    /** Sends [refusal] as the response to [exchange], whose request has the id [id]. */
    fun refuse(exchange: CallerExchange, id: String, refusal: Refusal, arrivedAtMillis: Long) {
        val kind = refusal.kind
        log.request(
            "flow", id, "refused", "kind" to kind.name, "status" to kind.status, "cause" to refusal.cause,
            "retryAfter" to refusal.retryAfterMillis, "age" to clocks.steadyMillis - arrivedAtMillis,
            "target" to exchange.request.target,
        )
        metrics.requestEnded(kind.name, NO_ROUTE, clocks.steadyMillis - arrivedAtMillis)
        val headers = buildList {
            if (id.isNotEmpty()) add(RequestHeaders.REQUEST_ID to id)
            refusal.retryAfterMillis?.let { add(RequestHeaders.RETRY_AFTER to "%.2f".format(it / MILLIS_PER_SECOND)) }
            add("Content-Type" to "text/plain")
        }
        exchange.respond(kind.status, headers, (kind.title + "\n").encodeToByteArray())
    }

    companion object {
        /** Label of requests without a route: callers could send any number of paths that no route matches. */
        const val NO_ROUTE = "none"
        private const val MILLIS_PER_SECOND = 1000.0
    }
}
