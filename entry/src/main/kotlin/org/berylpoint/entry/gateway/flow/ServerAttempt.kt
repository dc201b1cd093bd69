package org.berylpoint.entry.gateway.flow

import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.caller.CallerExchange
import org.berylpoint.entry.gateway.server.ServerEvent
import org.berylpoint.entry.gateway.server.ServerExchange
import org.berylpoint.entry.gateway.server.ServerLimits
import org.berylpoint.entry.gateway.server.ServerNotices
import org.berylpoint.entry.gateway.server.ServerPool
import org.berylpoint.entry.gateway.server.ServerReservation
import kotlin.time.Duration.Companion.milliseconds

/** One attempt at one server: forwards the events of a stream as they arrive, and buffers any other response. */
internal class ServerAttempt(
    private val exchange: CallerExchange,
    private val request: AdmittedRequest,
    private val reservation: ServerReservation,
    private val serverExchange: ServerExchange,
    private val progress: ResponseProgress,
    private val notices: ServerNotices,
    private val limits: ServerLimits,
    private val clocks: Clocks,
    private val pool: ServerPool,
    /** Reserves capacity for a further attempt at another server; false if there can't be one now. */
    private val tryMove: () -> Boolean,
) {
    private var head: ServerEvent.Head? = null
    private var body = ByteArray(0)
    private var lastProgressAtMillis = clocks.steadyMillis
    private var lastCheckAtMillis = clocks.steadyMillis
    private var hasStarted = false

    /** What of the stream was not forwarded, since it is no event that continues the response; null for nothing. */
    private var defect: String? = null

    /** Whether the server has sent any complete event, also one that the caller has already. */
    private var hasEvents = false
    private var eventCount = 0
    private var firstEventAtMillis = 0L

    /** Mean time between the events of the attempt so far; null while there are too few of them. */
    val eventGapMillis: Double?
        get() {
            if (eventCount < MIN_EVENTS_FOR_GAP) return null
            return (lastProgressAtMillis - firstEventAtMillis).toDouble() / (eventCount - 1)
        }

    /** Runs the attempt and calls [onStarted] at the first sign that the server runs it. */
    suspend fun run(onStarted: () -> Unit): AttemptEnd {
        while (true) {
            val now = clocks.steadyMillis
            if (now >= request.deadlineMillis) return cancelWith(AttemptEnd.TimedOut(!hasStarted))
            if (hasCallerLeft(now)) return cancelWith(AttemptEnd.CallerDisconnected)
            if (isStalled(now) && tryMove()) {
                return cancelWith(AttemptEnd.Stalled("silent for ${now - lastProgressAtMillis} ms"))
            }
            val timeout = minOf(DISCONNECT_POLL_MILLIS, request.deadlineMillis - now)
            val event = serverExchange.next(timeout.milliseconds) ?: continue
            handle(event, onStarted)?.let { return it }
        }
    }

    /** Checks the caller's connection at intervals, also while the server sends events all the time. */
    private fun hasCallerLeft(now: Long): Boolean {
        if (now - lastCheckAtMillis < DISCONNECT_POLL_MILLIS) return false
        lastCheckAtMillis = now
        return exchange.isDisconnected()
    }

    private fun handle(event: ServerEvent, onStarted: () -> Unit): AttemptEnd? {
        when (event) {
            is ServerEvent.Head -> {
                head = event
                notices.record(reservation.server.entry, event)
                limits.record(reservation.server.entry, event.requestsPerSecond, reservation.reservedAtMillis)
                recordProgress()
                if (!event.isNotRun && !event.isEventStream) markStarted(onStarted)
            }
            is ServerEvent.Data -> handleData(event, onStarted)
            is ServerEvent.End -> return completion()
            is ServerEvent.Failed -> return failure(event)
            is ServerEvent.Withheld -> return AttemptEnd.Withheld(event.obstacle)
        }
        return null
    }

    private fun handleData(event: ServerEvent.Data, onStarted: () -> Unit) {
        val head = head ?: return
        when {
            !head.isEventStream -> body = event.bytes
            event.bytes.isBlank() -> forwardFiller(event)
            else -> handleEvent(head, event, onStarted)
        }
    }

    private fun handleEvent(head: ServerEvent.Head, event: ServerEvent.Data, onStarted: () -> Unit) {
        val isComment = event.bytes.isComment()
        if (!isComment) markStarted(onStarted)
        when {
            // The server stopped within an event. It is not forwarded, so that another server can send it complete.
            !event.bytes.isCompleteEvent() -> defect = "a stream that ends within an event"
            isComment -> forwardFiller(event)
            !hasEvents && isOutOfPlace(event) -> defect = "text instead of the rest of the stream"
            else -> {
                hasEvents = true
                if (!isDuplicate(event)) forwardEvent(head, event)
            }
        }
    }

    private fun forwardEvent(head: ServerEvent.Head, event: ServerEvent.Data) {
        recordProgress()
        if (eventCount++ == 0) firstEventAtMillis = lastProgressAtMillis
        pool.recordEvent(reservation)
        if (!progress.isResponseStarted) {
            progress.isResponseStarted = true
            exchange.startResponse(head.status, head.headers)
        }
        exchange.write(event.bytes)
        progress.lastEventId = event.eventId ?: progress.lastEventId
        progress.lastEventHasNoId = event.eventId == null
    }

    /** Forwards a comment or an empty line of the stream. It carries no part of the response, so it is no progress. */
    private fun forwardFiller(event: ServerEvent.Data) {
        if (progress.isResponseStarted) exchange.write(event.bytes)
    }

    private fun recordProgress() {
        lastProgressAtMillis = clocks.steadyMillis
    }

    /** Whether an earlier attempt already sent this event to the caller. */
    private fun isDuplicate(event: ServerEvent.Data): Boolean {
        val last = progress.lastEventId ?: return false
        return event.eventId != null && event.eventId <= last
    }

    /** Whether the event can't be the next one of a stream whose earlier events have ids. */
    private fun isOutOfPlace(event: ServerEvent.Data) = progress.lastEventId != null && event.eventId == null

    private fun completion(): AttemptEnd {
        val head = head ?: return interrupted("the response ended without a status line")
        if (head.isNotRun) return AttemptEnd.NotRun(true, "status ${head.status}")
        return when {
            // Where an earlier attempt sent events, it can't be told whether all are there.
            head.isEventStream && !hasEvents ->
                AttemptEnd.Interrupted(false, false, defect ?: "a stream without events")
            defect != null -> interrupted(defect.orEmpty())
            isServerFailure(head.status) -> AttemptEnd.Error(head.status, head.headers, body)
            progress.isResponseStarted && !head.isEventStream ->
                AttemptEnd.Interrupted(false, false, "status ${head.status} instead of the rest of the stream")
            else -> AttemptEnd.Complete(head.status, head.headers, body)
        }
    }

    private fun isServerFailure(status: Int): Boolean = status >= MIN_SERVER_ERROR || status in FAILURE_4XX_STATUSES

    private fun failure(event: ServerEvent.Failed): AttemptEnd {
        if (!event.isSent) return AttemptEnd.NotRun(false, event.cause)
        if (head?.isNotRun == true) return AttemptEnd.NotRun(true, "status ${head?.status}, then ${event.cause}")
        return interrupted(event.cause)
    }

    private fun interrupted(cause: String) = AttemptEnd.Interrupted(true, eventCount > MAX_EVENTS_BEFORE_CRASH, cause)

    private fun markStarted(onStarted: () -> Unit) {
        if (hasStarted) return
        hasStarted = true
        onStarted()
    }

    /**
     * Whether the server has made no progress for so long that another one should complete the request. Until another
     * one has room the request goes on here, up to its deadline: a slow response is better than none.
     */
    private fun isStalled(now: Long): Boolean {
        val silence = now - lastProgressAtMillis
        if (hasStarted && request.isStream) {
            val targetGapMillis = maxOf(request.route.targetEventGapMillis, MIN_TARGET_EVENT_GAP_MILLIS)
            return silence > MAX_SILENT_EVENT_GAPS * targetGapMillis
        }
        return silence > MAX_SILENT_TARGETS * request.route.targetLatencyMillis + reservation.expectedMillis
    }

    private fun cancelWith(end: AttemptEnd): AttemptEnd {
        serverExchange.cancel()
        return end
    }

    private companion object {
        /** Time between checks whether the caller has disconnected. */
        const val DISCONNECT_POLL_MILLIS = 200L

        /** Silence allowed within a started stream, in multiples of the target event gap. */
        const val MAX_SILENT_EVENT_GAPS = 4
        const val MIN_TARGET_EVENT_GAP_MILLIS = 100L

        /** Silence allowed before that, in multiples of the target latency, in addition to the expected delay. */
        const val MAX_SILENT_TARGETS = 2

        /** Events of a stream from which the time between them is taken. */
        const val MIN_EVENTS_FOR_GAP = 5

        /** Events that a server may have sent when it crashes at the beginning of a response. */
        const val MAX_EVENTS_BEFORE_CRASH = 2
        const val MIN_SERVER_ERROR = 500

        /** Client error statuses that stand for a failure of the server: time-out, misdirected request, overload. */
        val FAILURE_4XX_STATUSES = setOf(408, 421, 429)
    }
}
