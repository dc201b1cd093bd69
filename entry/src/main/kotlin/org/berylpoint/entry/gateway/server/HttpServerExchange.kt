package org.berylpoint.entry.gateway.server

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import org.berylpoint.platform.wire.RequestHeaders
import java.nio.ByteBuffer
import kotlin.time.Duration

/** What an [HttpServerExchange] asks of the connection that carries it. Callable from any thread. */
internal interface ExchangeConnection {
    fun closeFor(exchange: HttpServerExchange)

    fun resumeReading(exchange: HttpServerExchange)
}

/**
 * One request and the events of its response, from the event loop's thread to the coroutine that serves the request.
 *
 * The bytes that wait in between are bounded: a stream stops to be read while its caller is slow, and a response that
 * is delivered as a whole fails when it exceeds its part of [memory].
 */
internal class HttpServerExchange(
    val request: ServerRequest,
    memory: ResponseMemory,
    private val connection: ExchangeConnection,
) : ServerExchange,
    ResponseSink {
    private val events = Channel<ServerEvent>(Channel.UNLIMITED)
    private val memory = memory.Account()
    private var isStream = false
    private val splitter = EventSplitter { bytes, id -> emit(ServerEvent.Data(bytes, id)) }
    private val body = BodyBuffer()

    /** Whether the connection already carried another response, a copy of which could be taken for this one. */
    var isOnReusedConnection = false

    /** Whether the response carried the request's id. */
    var isIdentified = false
        private set

    @Volatile
    var isCancelled = false
        private set

    /** Whether so much of the stream waits for its caller that no more should be read. */
    val isBacklogged: Boolean get() = isStream && memory.isOver(MAX_WAITING_BYTES)

    // Unlike withTimeout around receive, select never loses an event that arrives at the moment of the timeout.
    @OptIn(ExperimentalCoroutinesApi::class)
    override suspend fun next(timeout: Duration): ServerEvent? {
        val event = select {
            events.onReceiveCatching { it.getOrNull() ?: ServerEvent.Failed(true, "the event channel is closed") }
            onTimeout(timeout) { null }
        }
        if (event is ServerEvent.Data) giveBack(event.bytes.size)
        return event
    }

    override fun cancel() {
        isCancelled = true
        events.cancel()
        memory.close()
        connection.closeFor(this)
    }

    override fun onHead(head: ResponseHead) {
        checkIdentity(head)
        isStream = request.isStream && head.status == OK && hasEventStreamType(head)
        val headers = head.headers.filter { (name, _) -> name.lowercase() !in CONNECTION_HEADERS }
        val isNotRun = head.values(RequestHeaders.NOT_RUN).isNotEmpty() || head.status == MISDIRECTED_REQUEST
        val isLeaving = head.values(RequestHeaders.SERVER_LEAVING).any { it == LEAVING }
        val limit = requestsPerSecond(head)
        events.trySend(
            ServerEvent.Head(head.status, headers, isNotRun, isStream, isLeaving, retryAfterMillis(head), limit),
        )
    }

    /** The seconds of `Retry-After` in a 503, which may have a fraction; what is no such number is ignored. */
    private fun retryAfterMillis(head: ResponseHead): Long? {
        if (head.status != UNAVAILABLE) return null
        val seconds = head.values(RequestHeaders.RETRY_AFTER).firstNotNullOfOrNull { it.toDoubleOrNull() }
        return seconds?.takeIf { it > 0 && it <= MAX_RETRY_AFTER_SECONDS }?.let { (it * MILLIS_PER_SECOND).toLong() }
    }

    /** The limit that the response names; what is no such number is ignored. */
    private fun requestsPerSecond(head: ResponseHead): Double? =
        head.values(RequestHeaders.SERVER_LIMIT).firstNotNullOfOrNull { it.trim().toDoubleOrNull() }
            ?.takeIf { it >= 0 && it.isFinite() }

    /** Whether the body may be a stream by its type; a stream may have none. */
    private fun hasEventStreamType(head: ResponseHead): Boolean {
        val types = head.values("Content-Type")
        return types.isEmpty() || types.any { it.substringBefore(';').trim().equals(EVENT_STREAM, ignoreCase = true) }
    }

    override fun onBody(part: ByteBuffer) {
        if (isStream) return splitter.add(part)
        memory.take(part.remaining())
        if (memory.isOver(MAX_BODY_BYTES)) {
            throw ResponseFaultException(ResponseFault.BODY_TOO_LARGE, "the response exceeds its part of the memory")
        }
        body.add(part)
    }

    override fun onEnd() {
        if (isStream) splitter.finish() else events.trySend(ServerEvent.Data(body.take(), null))
        events.trySend(ServerEvent.End)
        events.close()
    }

    /** Ends the exchange without a complete response; ignored after the end. */
    fun fail(isSent: Boolean, cause: String) = endWith(ServerEvent.Failed(isSent, cause))

    /** Ends the exchange before anything of the request was sent. */
    fun withhold(obstacle: SendObstacle) = endWith(ServerEvent.Withheld(obstacle))

    private fun endWith(event: ServerEvent) {
        memory.close()
        body.clear()
        events.trySend(event)
        events.close()
    }

    private fun checkIdentity(head: ResponseHead) {
        val ids = head.values(RequestHeaders.REQUEST_ID)
        val other = ids.firstOrNull { it != request.id }
        when {
            other != null ->
                throw ResponseFaultException(ResponseFault.OTHER_REQUEST, "the response carries the id $other")
            ids.isNotEmpty() -> isIdentified = true
            isOnReusedConnection ->
                throw ResponseFaultException(ResponseFault.UNIDENTIFIED, "the response carries no id")
        }
    }

    private fun emit(event: ServerEvent.Data) {
        memory.take(event.bytes.size)
        events.trySend(event)
    }

    private fun giveBack(bytes: Int) {
        val wasBacklogged = isBacklogged
        memory.giveBack(bytes)
        if (wasBacklogged && !isBacklogged) connection.resumeReading(this)
    }

    /** Bytes of a response that is delivered as a whole. */
    private class BodyBuffer {
        private var bytes = EMPTY
        private var size = 0

        fun add(part: ByteBuffer) {
            val needed = size + part.remaining()
            if (needed > bytes.size) bytes = bytes.copyOf(maxOf(needed, bytes.size * 2, INITIAL_BYTES))
            part.get(bytes, size, part.remaining())
            size = needed
        }

        /** Returns the bytes and forgets them. */
        fun take(): ByteArray = bytes.copyOf(size).also { clear() }

        fun clear() {
            bytes = EMPTY
            size = 0
        }
    }

    private companion object {
        const val OK = 200
        const val MISDIRECTED_REQUEST = 421
        const val UNAVAILABLE = 503
        const val LEAVING = "1"
        const val MILLIS_PER_SECOND = 1_000

        /** A longer time is taken for a mistake: it would exclude the server for good. */
        const val MAX_RETRY_AFTER_SECONDS = 3_600.0
        const val EVENT_STREAM = "text/event-stream"
        const val INITIAL_BYTES = 1_024
        val EMPTY = ByteArray(0)

        /** Bytes of a stream that may wait for their caller before reading stops. */
        const val MAX_WAITING_BYTES = 131_072L

        /** Limit on a response that is delivered as a whole. */
        const val MAX_BODY_BYTES = 8_388_608L
        val CONNECTION_HEADERS = setOf(
            "connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "proxy-connection",
            "proxy-authenticate", "content-length",
        )
    }
}
