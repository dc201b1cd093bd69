package org.berylpoint.entry.gateway.flow

import kotlinx.coroutines.delay
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.GatewayMetrics
import org.berylpoint.entry.gateway.caller.CallerExchange
import org.berylpoint.entry.gateway.server.ReservationResult
import org.berylpoint.entry.gateway.server.ServerClient
import org.berylpoint.entry.gateway.server.ServerPool
import org.berylpoint.entry.gateway.server.ServerReservation
import org.berylpoint.entry.gateway.site.SiteState
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.ErrorKind
import org.berylpoint.platform.wire.RequestHeaders
import org.berylpoint.policy.placement.AttemptSignal
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Serves callers' requests: admission, choice of a server, attempts, and the answer. */
public class RequestFlow(
    private val clocks: Clocks,
    private val site: SiteState,
    private val pool: ServerPool,
    private val client: ServerClient,
    private val counts: SharedCounts,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    random: Random,
    /** Whether the instance is about to end, so that a new request might be cut off. */
    private val isLeaving: () -> Boolean = { false },
) {
    private val admission = Admission(site, counts, random)
    private val running = AtomicInteger()

    /** Requests in progress. */
    public val inFlight: Int get() = running.get()

    /** Serves one request to its end. */
    public suspend fun serve(exchange: CallerExchange) {
        val arrived = clocks.steady
        running.incrementAndGet()
        try {
            if (isLeaving()) {
                val id = exchange.request.header(RequestHeaders.REQUEST_ID).orEmpty()
                refuse(
                    exchange,
                    id,
                    Refusal(ErrorKind.ShuttingDown, "the instance stops", LEAVING_WAIT_MILLIS),
                    arrived,
                )
                return
            }
            awaitFirstView()
            admission.admit(exchange.request, arrived).fold(
                ifLeft = {
                    refuse(exchange, exchange.request.header(RequestHeaders.REQUEST_ID).orEmpty(), it, arrived)
                },
                ifRight = { Serving(exchange, it).run() },
            )
        } catch (e: IOException) {
            val id = exchange.request.header(RequestHeaders.REQUEST_ID).orEmpty()
            log.request("flow", id, "caller-gone", "cause" to e.message, "age" to clocks.steady - arrived)
            metrics.ended("caller-gone", NO_ROUTE, clocks.steady - arrived)
        } finally {
            running.decrementAndGet()
        }
    }

    /** Right after a start the store's first answers are a moment away; a refusal would cost the caller a retry. */
    private suspend fun awaitFirstView() {
        while (!site.view.isKnown && clocks.steady < START_MILLIS) delay(START_CHECK_MILLIS.milliseconds)
    }

    private fun refuse(exchange: CallerExchange, id: String, refusal: Refusal, arrived: Long) {
        val kind = refusal.kind
        log.request(
            "flow", id, "refused", "kind" to kind.name, "status" to kind.status, "cause" to refusal.cause,
            "retryAfter" to refusal.retryAfterMillis, "age" to clocks.steady - arrived,
            "target" to exchange.request.target,
        )
        // A path that no route matches must not become a label: callers could send any number of them.
        metrics.ended(kind.name, NO_ROUTE, clocks.steady - arrived)
        val headers = buildList {
            if (id.isNotEmpty()) add(RequestHeaders.REQUEST_ID to id)
            refusal.retryAfterMillis?.let { add(RequestHeaders.RETRY_AFTER to "%.2f".format(it / MILLIS)) }
            add("Content-Type" to "text/plain")
        }
        exchange.respond(kind.status, headers, (kind.title + "\n").encodeToByteArray())
    }

    /** One request on its way through servers. */
    private inner class Serving(private val exchange: CallerExchange, private val request: AdmittedRequest) {
        private val tried = HashSet<BackendServerId>()
        private val progress = ResponseProgress()

        /** Attempts that ran or may have run. */
        private var runs = 0

        /** Attempts that reached a server. */
        private var sends = 0
        private var unsent = 0
        private var isCharged = false
        private var failure = "no attempt was made"

        suspend fun run() {
            val crashes = counts.crashCount(request.fingerprint)
            if (crashes >= MAX_CRASHES) {
                giveUp(
                    ErrorKind.NoCapacity,
                    "the request broke $crashes connections to servers",
                    QUARANTINE_WAIT_MILLIS,
                )
                return
            }
            admission.charge(request)?.let {
                refuse(exchange, request.id, it, request.arrivedAtMillis)
                return
            }
            isCharged = true
            counts.countFirstAttempt(
                request.service.name,
                request.tokens?.promptTokens ?: 0,
                request.tokens?.outputTokens ?: 0,
            )
            while (attempt()) Unit
        }

        /** Makes one attempt; true when another one is to follow. */
        private suspend fun attempt(): Boolean {
            val place = findPlace() ?: return false
            if (runs > 0) request.workspace?.let { counts.chargeRerun(it, request.capCost) }
            val exchangeWithServer = client.send(
                place.server.entry.id,
                place.server.entry.address,
                request.toServerRequest(place, remainingMillis(), progress),
            )
            tried += place.server.entry.id
            val attempt = ServerAttempt(exchange, request, place, exchangeWithServer, progress, clocks)
            val end = try {
                attempt.run { started(place) }
            } catch (e: IOException) {
                exchangeWithServer.cancel()
                pool.release(place, null)
                throw e
            }
            return conclude(place, end)
        }

        private fun started(place: ServerReservation) {
            pool.markStarted(place)
            progress.firstEventMillis = progress.firstEventMillis ?: (clocks.steady - request.arrivedAtMillis)
            countRun()
        }

        private fun countRun() {
            if (progress.isUsageCounted) return
            progress.isUsageCounted = true
            request.workspace?.let { counts.countUsage(it.workspace) }
        }

        private fun conclude(place: ServerReservation, end: AttemptEnd): Boolean {
            pool.release(place, signalOf(end))
            count(place, end)
            if (end !is AttemptEnd.Complete) noteFailure(place, end)
            return when (end) {
                is AttemptEnd.Interrupted -> {
                    if (end.isConnectionLost) counts.countCrash(request.fingerprint)
                    afterFailure()
                }
                is AttemptEnd.Error -> if (mayRunAgain()) true else passOn(end)
                is AttemptEnd.NotRun -> afterNotRun(end)
                is AttemptEnd.TimedOut -> {
                    finalFailure(ErrorKind.DeadlineExceeded)
                    false
                }
                is AttemptEnd.CallerDisconnected -> throw IOException("the caller left")
                is AttemptEnd.Complete -> {
                    served(place, end)
                    false
                }
            }
        }

        private fun count(place: ServerReservation, end: AttemptEnd) {
            if (end is AttemptEnd.NotRun && !end.reachedServer) unsent++ else sends++
            if (end is AttemptEnd.NotRun) return
            runs++
            if (end is AttemptEnd.CallerDisconnected) return
            if (!request.isStream) countRun()
            counts.countOutcome(request.service.name, place.server.entry.version, end is AttemptEnd.Complete)
        }

        private fun noteFailure(place: ServerReservation, end: AttemptEnd) {
            failure = end.toString()
            log.request(
                "flow", request.id, "attempt-failed", "server" to place.server.entry.id.value,
                "revision" to place.server.revision, "cause" to failure, "age" to age(), "sends" to sends,
                "lastEvent" to progress.lastEventId, "expected" to place.expectedMillis.toLong(),
                "sentAfter" to place.reservedAtMillis - request.arrivedAtMillis,
            )
            metrics.attemptFailed(end.metricLabel)
        }

        private fun afterFailure(): Boolean {
            if (mayRunAgain()) return true
            finalFailure(ErrorKind.BackendFailed)
            return false
        }

        private fun mayRunAgain(): Boolean = request.route.isIdempotent &&
            runs < request.route.maxAttempts &&
            !progress.lastEventHasNoId &&
            remainingMillis() > MIN_USEFUL_MILLIS &&
            counts.tryRetry(request.service.name)

        private fun afterNotRun(end: AttemptEnd.NotRun): Boolean {
            val isWithinLimit = sends < request.route.maxAttempts + EXTRA_SENDS && unsent < MAX_UNSENT
            val mayResend = isWithinLimit && remainingMillis() > MIN_USEFUL_MILLIS
            if (mayResend && (!end.reachedServer || counts.tryRetry(request.service.name))) return true
            when {
                runs > 0 -> finalFailure(ErrorKind.BackendFailed)
                else -> giveUp(ErrorKind.NoCapacity, end.toString(), REFUSED_WAIT_MILLIS)
            }
            return false
        }

        /** Gives the server's failure to the caller as it is, unless its status would promise that nothing ran. */
        private fun passOn(end: AttemptEnd.Error): Boolean {
            if (progress.isResponseStarted || end.status in PROMISES) {
                finalFailure(ErrorKind.BackendFailed)
            } else {
                exchange.respond(end.status, end.headers, end.body)
                ended("server-error")
            }
            return false
        }

        private fun finalFailure(kind: ErrorKind) {
            if (progress.isResponseStarted) {
                ended("broken-off")
                exchange.abort()
            } else {
                refuse(exchange, request.id, Refusal(kind, failure), request.arrivedAtMillis)
            }
        }

        private fun giveUp(kind: ErrorKind, cause: String, waitMillis: Long) {
            counts.countNoCapacity(request.service.name)
            if (isCharged) request.workspace?.let { counts.refund(it, request.capCost) }
            refuse(exchange, request.id, Refusal(kind, cause, waitMillis), request.arrivedAtMillis)
        }

        /** Waits for a place as long as that can still be of use to the caller; null when the request has ended. */
        private suspend fun findPlace(): ServerReservation? {
            val patience = clocks.steady + request.route.targetLatencyMillis / WAIT_PART
            while (true) {
                if (exchange.isDisconnected()) throw IOException("the caller left")
                val wait = when (val answer = pool.reserve(request.service, request.demand, tried)) {
                    is ReservationResult.Reserved -> return answer.reservation
                    is ReservationResult.Full -> answer.waitMillis
                    is ReservationResult.NoServer -> NO_SERVER_WAIT_MILLIS
                }
                val now = clocks.steady
                if (now >= patience || wait > patience - now || remainingMillis() < MIN_USEFUL_MILLIS) {
                    if (runs > 0 || progress.isResponseStarted) {
                        finalFailure(ErrorKind.BackendFailed)
                    } else {
                        giveUp(ErrorKind.NoCapacity, "no place within ${request.route.targetLatencyMillis} ms", wait)
                    }
                    return null
                }
                delay(minOf(wait, RECHECK_MILLIS).milliseconds)
            }
        }

        private fun served(place: ServerReservation, end: AttemptEnd.Complete) {
            if (progress.isResponseStarted) {
                exchange.completeResponse()
            } else {
                exchange.respond(end.status, end.headers, end.body)
            }
            val isLate = (progress.firstEventMillis ?: age()) > request.route.targetLatencyMillis
            log.served(
                request.id,
                isLate,
                "server" to place.server.entry.id.value,
                "revision" to place.server.revision,
                "route" to request.route.name,
                "age" to age(),
                "first" to progress.firstEventMillis,
                "expected" to place.expectedMillis.toLong(),
                "sends" to sends,
                "wait" to place.reservedAtMillis - request.arrivedAtMillis,
                "tokens" to request.tokens?.promptTokens,
            )
            ended("served")
        }

        private fun ended(outcome: String) =
            metrics.ended(outcome, request.route.name, progress.firstEventMillis ?: age())

        private fun age() = clocks.steady - request.arrivedAtMillis

        private fun remainingMillis() = request.deadlineMillis - clocks.steady
    }

    private fun signalOf(end: AttemptEnd): AttemptSignal? = when (end) {
        is AttemptEnd.Complete -> AttemptSignal.GOOD
        is AttemptEnd.Error, is AttemptEnd.Interrupted -> AttemptSignal.FAILED
        is AttemptEnd.NotRun -> if (end.reachedServer) AttemptSignal.REFUSED else AttemptSignal.UNREACHABLE
        is AttemptEnd.TimedOut -> AttemptSignal.FAILED.takeIf { end.hadNotStarted }
        is AttemptEnd.CallerDisconnected -> null
    }

    private companion object {
        const val MILLIS = 1000.0
        const val NO_ROUTE = "none"

        /** Time from the start of the process in which requests wait for the first configuration. */
        const val START_MILLIS = 1_000L
        const val START_CHECK_MILLIS = 10L

        /** Connections that one request may break at all instances together. */
        const val MAX_CRASHES = 3

        /** Another instance can take the request at once. */
        const val LEAVING_WAIT_MILLIS = 10L
        const val QUARANTINE_WAIT_MILLIS = 30_000L

        /** Sends beyond the route's attempts that servers refused without running. */
        const val EXTRA_SENDS = 1

        /** Servers that one request may fail to reach; nothing of it arrived there. */
        const val MAX_UNSENT = 4

        /** A request with less time left is not sent. */
        const val MIN_USEFUL_MILLIS = 30L

        /** Part of the target latency that a request may wait for a place. */
        const val WAIT_PART = 8
        const val RECHECK_MILLIS = 20L
        const val NO_SERVER_WAIT_MILLIS = 500L
        const val REFUSED_WAIT_MILLIS = 200L

        /** Statuses that tell a caller that the request has not run. */
        val PROMISES = setOf(408, 421, 429, 503)
    }
}
