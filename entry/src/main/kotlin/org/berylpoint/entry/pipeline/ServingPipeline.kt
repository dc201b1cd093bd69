package org.berylpoint.entry.pipeline

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.flow.flowOn
import kotlinx.coroutines.withTimeoutOrNull
import org.berylpoint.entry.backend.ServerDirectory
import org.berylpoint.entry.catalogue.CatalogueSource
import org.berylpoint.entry.judgement.Judge
import org.berylpoint.entry.node.NodeContext
import org.berylpoint.entry.once.OnceRegistry
import org.berylpoint.entry.once.OnceTicket
import org.berylpoint.entry.ownership.Reservations
import org.berylpoint.entry.stream.StreamContext
import org.berylpoint.entry.stream.StreamFilter
import org.berylpoint.entry.stream.StreamTicker
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.Problem
import org.berylpoint.model.ResponseEvent
import org.berylpoint.model.RunState
import org.berylpoint.model.ServeRequest
import org.berylpoint.model.ServiceKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * The pipeline of an entry instance, composed of its filters.
 *
 * All state is confined to the dispatcher of [NodeContext.scope]; an answer may be collected on any thread.
 */
public class ServingPipeline(
    private val node: NodeContext,
    private val catalogue: CatalogueSource,
    directory: ServerDirectory,
    reservations: Reservations,
    private val once: OnceRegistry,
    judge: Judge,
) : Pipeline {
    private val drain = Drain(node.time)
    private val loads = ServerLoads(node.time)
    private val waitQueues = WaitQueues(node.time)
    private val retryBudget = InstanceRetryBudget(node.time)
    private val placer = Placer(node.scope, directory, reservations, judge, loads, waitQueues, drain, node.random)
    private val dispatcher = Dispatcher(node.backends, directory, judge, loads, node.scope)
    private val bufferedCall = BufferedCall(node.scope, dispatcher, waitQueues, node.time)
    private val idempotentCalls = IdempotentCallFilter(placer, bufferedCall, judge, retryBudget)
    private val streamContext = StreamContext(
        placer,
        dispatcher,
        node.backends,
        directory,
        judge,
        retryBudget,
        waitQueues,
        node.time,
    ) { catalogue.current.value }
    private val streams = StreamFilter(streamContext, StreamTicker(node.scope))
    private val nonIdempotentCalls = NonIdempotentCallFilter(node.scope, once, placer, bufferedCall, judge, drain)
    private val idempotentRequests = Filter {
        if (it.request.kind == ServiceKind.MODEL) streams.handle(it) else idempotentCalls.handle(it)
    }
    private val admission = AdmissionFilter(Filter { withinDeadline(it, idempotentRequests) }, nonIdempotentCalls)

    /** Number of requests that run or wait on this instance. */
    public val inFlight: Int get() = drain.inFlight

    override fun serve(request: ServeRequest): Flow<ResponseEvent> {
        val flow = channelFlow {
            val refusal = refusal()
            if (refusal != null) {
                send(ResponseEvent.Failed(withActualRunState(refusal, request)))
            } else {
                val entries = catalogue.current.value?.entriesOf(request.requestClass).orEmpty()
                drain.track { handle(Exchange(request, entries) { send(it) }) }
            }
        }
        val nodeDispatcher = node.scope.coroutineContext[CoroutineDispatcher] ?: return flow
        return flow.flowOn(nodeDispatcher)
    }

    /** Runs a request that another instance accepted but did not dispatch; the answer is stored and not sent. */
    public suspend fun runAccepted(request: ServeRequest, ticket: OnceTicket) {
        val entries = catalogue.current.value?.entriesOf(request.requestClass).orEmpty()
        if (entries.isEmpty()) {
            ticket.abandon()
        } else {
            nonIdempotentCalls.runAccepted(Exchange(request, entries) {}, ticket)
        }
    }

    /**
     * Refuses new requests from now on and returns when all accepted requests are answered or [notice] has passed. A
     * request that still waits for a place is refused as not run once it can no longer complete within the notice.
     */
    public suspend fun drain(notice: Duration) {
        drain.begin(notice)
        withTimeoutOrNull(notice) { drain.awaitIdle() }
    }

    private suspend fun handle(exchange: Exchange) {
        try {
            admission.handle(exchange)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            logger.error(e) { "pipeline: request ${exchange.request.id} failed" }
            exchange.fail(ErrorKind.Internal, "unexpected ${e::class.simpleName}")
        }
    }

    // An earlier request with the same idempotency key may have run at another instance.
    private suspend fun withActualRunState(refusal: Problem, request: ServeRequest): Problem =
        if (request.idempotencyKey != null && once.mayHaveRun(request)) {
            refusal.copy(runState = RunState.UNKNOWN)
        } else {
            refusal
        }

    private fun refusal(): Problem? = when {
        drain.isDraining -> shuttingDown()
        catalogue.current.value == null -> Problem(ErrorKind.NotReady, "no catalogue has been received yet")
        else -> null
    }

    private suspend fun withinDeadline(exchange: Exchange, filter: Filter) {
        withTimeoutOrNull(exchange.remaining.coerceAtLeast(1.milliseconds)) { filter.handle(exchange) }
        if (!exchange.isAnswered) exchange.fail(ErrorKind.DeadlineExceeded, "the deadline passed")
    }
}
