package org.berylpoint.entry.gateway.server

import java.nio.ByteBuffer

/** Status and headers of a response. Header values are ISO 8859-1 text. */
internal class ResponseHead(val status: Int, val headers: List<Pair<String, String>>, val isHttp11: Boolean) {
    /** All values of the header [name], ignoring case. */
    fun values(name: String): List<String> =
        headers.filter { it.first.equals(name, ignoreCase = true) }.map { it.second }

    /** The comma-separated tokens of the header [name], in lowercase. */
    fun tokens(name: String): List<String> =
        values(name).flatMap { it.split(',') }.map { it.trim().lowercase() }.filter { it.isNotEmpty() }
}

/** Receives what a [ResponseParser] finds, in order: one head, any number of body parts, and the end. */
internal interface ResponseSink {
    fun onHead(head: ResponseHead)

    /** The bytes of [part] are only valid during the call. */
    fun onBody(part: ByteBuffer)

    fun onEnd()
}

/**
 * Parser of one HTTP/1.1 response, for bytes that arrive in pieces of any size.
 *
 * It is strict: a response that two implementations could read differently is a fault. Lines are bounded, so that bytes
 * without end fail the response instead of filling the memory; the sink bounds the body.
 *
 * @property hasNoBody whether the request's method allows no body in the response
 */
internal class ResponseParser(private val hasNoBody: Boolean, private val sink: ResponseSink) {
    private sealed interface State {
        data object StatusLine : State

        data object Headers : State

        class FixedBody(var remaining: Long) : State

        data object ChunkSize : State

        class ChunkData(var remaining: Long) : State

        data object ChunkEnd : State

        data object Trailers : State

        data object BodyUntilClose : State

        data object Complete : State
    }

    private var state: State = State.StatusLine
    private val line = StringBuilder()

    /** Bytes that the head, all chunk sizes or the trailers may still take. */
    private var lineBudget = MAX_HEAD_BYTES
    private var statusLine = ""
    private var headers = ArrayList<Pair<String, String>>()
    private var head: ResponseHead? = null

    val isComplete: Boolean get() = state is State.Complete

    /** Whether the connection can carry another response after this one. */
    val isReusable: Boolean
        get() {
            val head = head ?: return false
            return isComplete && isDelimited && head.isHttp11 && "close" !in head.tokens("Connection")
        }
    private var isDelimited = true

    /**
     * Parses the bytes of [input] up to the end of the response; bytes after it are left in [input]. Throws
     * [ResponseFaultException] if they are no valid response.
     */
    fun parse(input: ByteBuffer) {
        while (!isComplete && input.hasRemaining()) step(input)
    }

    /**
     * The server closed the connection in the orderly way, which completes a body without a length. A server that ends
     * in the middle of such a body may close it like that too, so a success is only taken for complete if
     * [isRequestSent]: the server had the request it responds to. An error may come before, and then refuses the rest.
     */
    fun endOfInput(isRequestSent: Boolean) {
        val isOrderly = isRequestSent || (head?.status ?: 0) >= BAD_REQUEST
        if (state is State.BodyUntilClose && isOrderly) return complete()
        if (!isComplete) throw ResponseFaultException(ResponseFault.TRUNCATED, "the server closed the connection")
    }

    private fun step(input: ByteBuffer) {
        when (val state = state) {
            is State.StatusLine -> readLine(input)?.let {
                statusLine = it
                this.state = State.Headers
            }
            is State.Headers -> readLine(input)?.let(::headerLine)
            is State.FixedBody -> {
                state.remaining -= body(input, state.remaining)
                if (state.remaining == 0L) complete()
            }
            is State.ChunkSize -> readLine(input)?.let(::chunkSize)
            is State.ChunkData -> {
                state.remaining -= body(input, state.remaining)
                if (state.remaining == 0L) this.state = State.ChunkEnd
            }
            is State.ChunkEnd -> readLine(input)?.let { endChunk(it) }
            is State.Trailers -> readLine(input)?.let { if (it.isEmpty()) complete() }
            is State.BodyUntilClose -> body(input, Long.MAX_VALUE)
            is State.Complete -> Unit
        }
    }

    /** The next line without its end; null if [input] ends within it. */
    private fun readLine(input: ByteBuffer): String? {
        while (input.hasRemaining()) {
            val char = (input.get().toInt() and BYTE_MASK).toChar()
            if (--lineBudget <
                0
            ) {
                throw ResponseFaultException(tooLargeFault(), "more than $MAX_HEAD_BYTES bytes of lines")
            }
            if (char == '\n') {
                if (line.endsWith('\r')) line.setLength(line.length - 1)
                return line.toString().also { line.clear() }
            }
            line.append(char)
        }
        return null
    }

    private fun tooLargeFault() = if (head == null) ResponseFault.HEAD_TOO_LARGE else ResponseFault.MALFORMED_BODY

    private fun headerLine(text: String) {
        if (text.isEmpty()) return endHead()
        val colon = text.indexOf(':')
        val name = text.take(maxOf(colon, 0))
        if (name.isEmpty() || name.any { it <= ' ' || it >= DELETE }) malformedHead("the header line is invalid")
        val value = text.substring(colon + 1).trim(' ', '\t')
        if (value.any { it < ' ' && it != '\t' }) malformedHead("the value of $name has control characters")
        headers += name to value
    }

    private fun endHead() {
        val match = STATUS_LINE.matchEntire(statusLine) ?: malformedHead("the status line is invalid")
        val (minorVersion, status) = match.destructured
        val complete = ResponseHead(status.toInt(), headers, minorVersion == "1")
        headers = ArrayList()
        if (complete.status == SWITCHING_PROTOCOLS) malformedHead("the server switches protocols")
        if (complete.status < OK) {
            // An interim response; it spends the same budget, so that a series of them ends too.
            state = State.StatusLine
            return
        }
        head = complete
        // Checked before the sink sees the head, which then never belongs to a body of unknown extent.
        val bodyState = bodyState(complete)
        sink.onHead(complete)
        state = bodyState
        if (bodyState is State.FixedBody && bodyState.remaining == 0L) complete()
    }

    private fun bodyState(head: ResponseHead): State {
        val lengths = head.tokens("Content-Length").distinct()
        val codings = head.tokens("Transfer-Encoding")
        if (lengths.isEmpty() && codings.isEmpty() && FRAMING_HEADERS.any { head.values(it).isNotEmpty() }) {
            malformedHead("the length of the body is empty")
        }
        if (lengths.size > 1 || (lengths.isNotEmpty() && codings.isNotEmpty())) {
            malformedHead("the length of the body is ambiguous")
        }
        return when {
            hasNoBody || head.status == NO_CONTENT || head.status == NOT_MODIFIED -> State.FixedBody(0)
            codings == listOf("chunked") -> State.ChunkSize
            codings.isNotEmpty() -> malformedHead("the transfer coding $codings is not supported")
            lengths.isNotEmpty() -> State.FixedBody(lengthOf(lengths.single()))
            else -> State.BodyUntilClose.also { isDelimited = false }
        }
    }

    private fun lengthOf(text: String): Long {
        val length = text.takeIf { it.all(Char::isAsciiDigit) }?.toLongOrNull()
        return length ?: malformedHead("the length of the body is not a number")
    }

    private fun chunkSize(text: String) {
        val digits = text.substringBefore(';').trim()
        val size = digits.takeIf { it.isNotEmpty() && it.length <= MAX_CHUNK_SIZE_DIGITS && it.all(Char::isHexDigit) }
            ?.toLong(HEX) ?: throw ResponseFaultException(ResponseFault.MALFORMED_BODY, "the chunk size is invalid")
        state = if (size == 0L) State.Trailers else State.ChunkData(size)
    }

    private fun endChunk(text: String) {
        if (text.isNotEmpty()) {
            throw ResponseFaultException(
                ResponseFault.MALFORMED_BODY,
                "a chunk is longer than its size",
            )
        }
        // The budget bounds each line of a chunked body by itself, not the number of chunks.
        lineBudget = MAX_HEAD_BYTES
        state = State.ChunkSize
    }

    /** Passes at most [limit] bytes to the sink; returns their number. */
    private fun body(input: ByteBuffer, limit: Long): Int {
        val size = minOf(limit, input.remaining().toLong()).toInt()
        sink.onBody(input.slice().limit(size))
        input.position(input.position() + size)
        return size
    }

    private fun complete() {
        state = State.Complete
        sink.onEnd()
    }

    private fun malformedHead(message: String): Nothing =
        throw ResponseFaultException(ResponseFault.MALFORMED_HEAD, message)

    private companion object {
        /** Limit on the head with its interim responses, on each chunk size, and on the trailers. */
        const val MAX_HEAD_BYTES = 32_768

        /** Keeps a chunk size within a Long. */
        const val MAX_CHUNK_SIZE_DIGITS = 15
        const val HEX = 16
        const val BYTE_MASK = 0xff
        const val DELETE = '\u007f'
        const val SWITCHING_PROTOCOLS = 101
        const val OK = 200
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304
        const val BAD_REQUEST = 400
        val FRAMING_HEADERS = listOf("Content-Length", "Transfer-Encoding")

        /** Codes of three digits above 599 have no class, so each caller would read them differently. */
        val STATUS_LINE = Regex("HTTP/1\\.([01]) ([1-5][0-9]{2})(?: .*)?")
    }
}

private fun Char.isAsciiDigit() = this in '0'..'9'

private fun Char.isHexDigit() = this in '0'..'9' || this in 'a'..'f' || this in 'A'..'F'
