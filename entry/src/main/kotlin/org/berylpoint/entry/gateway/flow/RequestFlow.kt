package org.berylpoint.entry.gateway.flow

import kotlinx.coroutines.delay
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.GatewayMetrics
import org.berylpoint.entry.gateway.caller.CallerExchange
import org.berylpoint.entry.gateway.queue.RequestQueues
import org.berylpoint.entry.gateway.server.ServerClient
import org.berylpoint.entry.gateway.server.ServerLimits
import org.berylpoint.entry.gateway.server.ServerNotices
import org.berylpoint.entry.gateway.site.SiteState
import org.berylpoint.model.ErrorKind
import org.berylpoint.platform.wire.RequestHeaders
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Serves callers' requests: admits them, selects a server, makes attempts, and sends the response. */
public class RequestFlow(
    private val clocks: Clocks,
    private val site: SiteState,
    queues: RequestQueues,
    client: ServerClient,
    notices: ServerNotices,
    limits: ServerLimits,
    counts: SharedCounts,
    versions: VersionOutcomes,
    quarantine: PromptQuarantine,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    random: Random,
    private val conditions: AcceptanceConditions = AcceptanceConditions(),
) {
    private val context = FlowContext(
        clocks,
        queues,
        client,
        notices,
        limits,
        counts,
        versions,
        quarantine,
        log,
        metrics,
        Admission(site, counts, random, conditions.isViewOld),
        conditions,
    )
    private val inFlightCount = AtomicInteger()

    /** Requests in progress. */
    public val inFlight: Int get() = inFlightCount.get()

    /** Serves one request until its response is complete or its caller has disconnected. */
    public suspend fun serve(exchange: CallerExchange) {
        // A caller's deadline runs from its sending, whatever the request has waited for here.
        val arrivedAtMillis = clocks.steadyMillis - exchange.request.ageMillis - conditions.lagMillis()
        inFlightCount.incrementAndGet()
        try {
            if (conditions.isLeaving()) return refuse(exchange, stopping("the instance is stopping"), arrivedAtMillis)
            val rank = context.admission.rankOf(exchange.request)
            if (!conditions.hasProcessorTime(rank)) return refuse(exchange, overloaded(), arrivedAtMillis)
            if (conditions.isViewOutOfDate()) return refuse(exchange, Refusal.viewOutOfDate(), arrivedAtMillis)
            awaitConfiguration()
            context.admission.admit(exchange.request, arrivedAtMillis).fold(
                ifLeft = { refuse(exchange, it, arrivedAtMillis) },
                ifRight = { serveAdmitted(exchange, it) },
            )
        } catch (e: IOException) {
            val id = exchange.request.header(RequestHeaders.REQUEST_ID).orEmpty()
            log.request("flow", id, "caller-gone", "cause" to e.message, "age" to clocks.steadyMillis - arrivedAtMillis)
            metrics.requestEnded("caller-gone", FlowContext.NO_ROUTE, clocks.steadyMillis - arrivedAtMillis)
        } finally {
            inFlightCount.decrementAndGet()
        }
    }

    private suspend fun serveAdmitted(exchange: CallerExchange, request: AdmittedRequest) {
        if (request.deadlineMillis <= clocks.steadyMillis) {
            val refusal = Refusal(ErrorKind.NoCapacity, "the deadline passed while the request waited")
            return refuse(exchange, refusal, request.arrivedAtMillis)
        }
        val expected = context.durations.expectedMillis(request.route.name)
        val remaining = conditions.remainingMillis()
        if (expected != null && remaining != null && expected > remaining) {
            val cause = "the request may take $expected ms, and the instance stops in $remaining ms"
            return refuse(exchange, stopping(cause), request.arrivedAtMillis)
        }
        RequestAttempts(exchange, request, context).run()
    }

    private fun stopping(cause: String) = Refusal(ErrorKind.ShuttingDown, cause, STOPPING_RETRY_AFTER_MILLIS)

    private fun overloaded() =
        Refusal(ErrorKind.NoCapacity, "the instance is short of processor time", OVERLOADED_RETRY_AFTER_MILLIS)

    private fun refuse(exchange: CallerExchange, refusal: Refusal, arrivedAtMillis: Long) =
        context.refuse(exchange, exchange.request.header(RequestHeaders.REQUEST_ID).orEmpty(), refusal, arrivedAtMillis)

    /**
     * Waits for the configuration and the server list right after the start of the process: they arrive within moments,
     * and a refusal would cost the caller a retry.
     */
    private suspend fun awaitConfiguration() {
        while (!site.view.canServe && clocks.steadyMillis < STARTUP_WAIT_MILLIS) delay(STARTUP_POLL_MILLIS.milliseconds)
    }

    private companion object {
        /** Time from the start of the process during which requests wait for the configuration. */
        const val STARTUP_WAIT_MILLIS = 1_000L
        const val STARTUP_POLL_MILLIS = 10L

        /** Short, since another instance can serve the request at once. */
        const val STOPPING_RETRY_AFTER_MILLIS = 10L

        /** Short, since another instance may serve the request, but long enough to keep repeats apart. */
        const val OVERLOADED_RETRY_AFTER_MILLIS = 100L
    }
}
