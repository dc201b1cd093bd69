package org.berylpoint.entry.gateway.flow

import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.caller.CallerExchange
import org.berylpoint.entry.gateway.server.ServerEvent
import org.berylpoint.entry.gateway.server.ServerExchange
import org.berylpoint.entry.gateway.server.ServerRequest
import org.berylpoint.entry.gateway.server.ServerReservation
import org.berylpoint.model.serving.Repeatability
import org.berylpoint.platform.wire.RequestHeaders
import kotlin.time.Duration.Companion.milliseconds

/** What of the answer has gone to the caller, over all attempts. */
internal class ResponseProgress {
    var isResponseStarted = false
    var isUsageCounted = false

    /** The event that a further attempt continues after; null before the first one. */
    var lastEventId: Long? = null

    /** Whether bytes were sent that are no whole event, so that nothing can follow them. */
    var lastEventHasNoId = false
    var firstEventMillis: Long? = null
}

/** How an attempt ended. */
internal sealed interface AttemptEnd {
    /** Value of the label `end` of the metric `berylpoint_attempt_failures_total`. */
    val metricLabel: String

    /** The answer is complete; for a stream it has been sent already. */
    class Complete(val status: Int, val headers: List<Pair<String, String>>, val body: ByteArray) : AttemptEnd {
        override val metricLabel get() = "Complete"
    }

    /** The server answered with a failure of its own. */
    class Error(val status: Int, val headers: List<Pair<String, String>>, val body: ByteArray) : AttemptEnd {
        override val metricLabel get() = "Error"

        override fun toString() = "status $status"
    }

    /** The server did not run the request; [reachedServer] when it said so itself. */
    class NotRun(val reachedServer: Boolean, val cause: String) : AttemptEnd {
        override val metricLabel get() = "NotRun"

        override fun toString() = "not run: $cause"
    }

    /** The answer stays incomplete and the request may have run. */
    class Interrupted(val isConnectionLost: Boolean, val cause: String) : AttemptEnd {
        override val metricLabel get() = "Broke"

        override fun toString() = "broken: $cause"
    }

    /** The caller's deadline or the route's timeout passed. */
    class TimedOut(val hadNotStarted: Boolean) : AttemptEnd {
        override val metricLabel get() = "TimedOut"

        override fun toString() = "timed out"
    }

    data object CallerDisconnected : AttemptEnd {
        override val metricLabel get() = "CallerLeft"

        override fun toString() = "CallerLeft"
    }
}

/** One attempt at one server: passes events of a stream on as they come, and collects any other answer. */
internal class ServerAttempt(
    private val exchange: CallerExchange,
    private val request: AdmittedRequest,
    private val place: ServerReservation,
    private val server: ServerExchange,
    private val progress: ResponseProgress,
    private val clocks: Clocks,
) {
    private var head: ServerEvent.Head? = null
    private var body = ByteArray(0)
    private var heardAtMillis = clocks.steady
    private var hasStarted = false
    private var isTorn = false

    /** Runs the attempt and calls [onStarted] at the first sign that the server runs it. */
    suspend fun run(onStarted: () -> Unit): AttemptEnd {
        while (true) {
            val now = clocks.steady
            if (now >= request.deadlineMillis) return cancelled(AttemptEnd.TimedOut(!hasStarted))
            if (isSilent(now)) return cancelled(AttemptEnd.Interrupted(false, "silent for ${now - heardAtMillis} ms"))
            val wait = minOf(CHECK_MILLIS, request.deadlineMillis - now)
            val event = server.next(wait.milliseconds)
            if (event == null) {
                if (exchange.isDisconnected()) return cancelled(AttemptEnd.CallerDisconnected)
                continue
            }
            heardAtMillis = clocks.steady
            handle(event, onStarted)?.let { return it }
        }
    }

    private fun handle(event: ServerEvent, onStarted: () -> Unit): AttemptEnd? {
        when (event) {
            is ServerEvent.Head -> {
                head = event
                if (!event.isNotRun && !isEventStream(event)) markStarted(onStarted)
            }
            is ServerEvent.Data -> part(event, onStarted)
            is ServerEvent.End -> return complete()
            is ServerEvent.Failed -> return failed(event)
        }
        return null
    }

    private fun part(event: ServerEvent.Data, onStarted: () -> Unit) {
        val head = head ?: return
        if (!isEventStream(head)) {
            body = event.bytes
            return
        }
        markStarted(onStarted)
        if (!event.bytes.isWholeEvent()) {
            // The server stopped in the middle of an event, which another one then sends whole.
            isTorn = true
            return
        }
        if (isRepeated(event)) return
        if (!progress.isResponseStarted) {
            progress.isResponseStarted = true
            exchange.startResponse(head.status, head.headers)
        }
        exchange.write(event.bytes)
        progress.lastEventId = event.eventId ?: progress.lastEventId
        progress.lastEventHasNoId = event.eventId == null
    }

    /** Whether the caller has this event already, from an earlier attempt. */
    private fun isRepeated(event: ServerEvent.Data): Boolean {
        val last = progress.lastEventId ?: return false
        return event.eventId != null && event.eventId <= last
    }

    private fun complete(): AttemptEnd {
        val head = head ?: return AttemptEnd.Interrupted(true, "an end without a head")
        if (head.isNotRun) return AttemptEnd.NotRun(true, "status ${head.status}")
        return when {
            isEventStream(head) && !progress.isResponseStarted ->
                AttemptEnd.Interrupted(false, "a stream without events")
            isTorn -> AttemptEnd.Interrupted(true, "a stream that ends within an event")
            isFailure(head.status) -> AttemptEnd.Error(head.status, head.headers, body)
            else -> AttemptEnd.Complete(head.status, head.headers, body)
        }
    }

    private fun isFailure(status: Int): Boolean = status >= SERVER_ERROR || status in NOT_RUN_STATUSES

    private fun failed(event: ServerEvent.Failed): AttemptEnd {
        if (!event.isSent) return AttemptEnd.NotRun(false, event.cause)
        if (head?.isNotRun == true) return AttemptEnd.NotRun(true, "status ${head?.status}, then ${event.cause}")
        return AttemptEnd.Interrupted(true, event.cause)
    }

    private fun markStarted(onStarted: () -> Unit) {
        if (hasStarted) return
        hasStarted = true
        onStarted()
    }

    /** A request that may run again is given up at a silent server, so that another one can go on in time. */
    private fun isSilent(now: Long): Boolean {
        if (!request.route.isIdempotent) return false
        val silence = now - heardAtMillis
        if (hasStarted &&
            request.isStream
        ) {
            return silence > SILENT_PAUSES * maxOf(request.route.targetPauseMillis, MIN_PAUSE_MILLIS)
        }
        return silence > SILENT_TARGETS * request.route.targetLatencyMillis + place.expectedMillis
    }

    private fun isEventStream(head: ServerEvent.Head) = request.isStream && head.status == OK

    private fun cancelled(end: AttemptEnd): AttemptEnd {
        server.cancel()
        return end
    }

    private companion object {
        /** Time between checks whether the caller is still there. */
        const val CHECK_MILLIS = 200L
        const val SILENT_PAUSES = 4
        const val MIN_PAUSE_MILLIS = 100L
        const val SILENT_TARGETS = 2
        const val OK = 200
        const val SERVER_ERROR = 500
        val NOT_RUN_STATUSES = setOf(408, 421, 429)
    }
}

/** Whether the bytes end with an empty line. */
private fun ByteArray.isWholeEvent(): Boolean = size >= 2 &&
    this[size - 1] == LINE_FEED &&
    (this[size - 2] == LINE_FEED || (size >= 3 && this[size - 2] == CARRIAGE_RETURN && this[size - 3] == LINE_FEED))

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()

private val CONNECTION_HEADERS = setOf(
    "connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "proxy-connection",
    "proxy-authorization", "content-length", "expect",
)

/** The request as it goes to the server of [place], continuing after what the caller has. */
internal fun AdmittedRequest.toServerRequest(
    place: ServerReservation,
    remainingMillis: Long,
    progress: ResponseProgress,
): ServerRequest {
    val named = caller.header("Connection").orEmpty().split(',').map { it.trim().lowercase() }.toSet()
    val resumeAfter = progress.lastEventId
    val headers = caller.headers.filter { (name, _) ->
        val key = name.lowercase()
        key !in CONNECTION_HEADERS &&
            key !in named &&
            key !in RequestHeaders.OWN &&
            !(resumeAfter != null && key == RequestHeaders.LAST_EVENT_ID.lowercase())
    }.toMutableList()
    headers += RequestHeaders.DEADLINE_MILLIS to remainingMillis.coerceAtLeast(1).toString()
    headers += RequestHeaders.EXPECTED_SERVER to place.server.entry.id.value
    if (workspace != null) headers += RequestHeaders.WORKSPACE to workspace.workspace.name
    if (service.engine != null) headers += RequestHeaders.SERVER_PRIORITY to serverPriority.toString()
    if (resumeAfter != null) headers += RequestHeaders.LAST_EVENT_ID to resumeAfter.toString()
    return ServerRequest(
        id,
        caller.method,
        caller.target,
        headers,
        caller.body,
        isStream,
        needsNewConnection = route.repeatability == Repeatability.ONCE,
    )
}
