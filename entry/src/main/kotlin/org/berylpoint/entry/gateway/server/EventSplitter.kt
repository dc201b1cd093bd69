package org.berylpoint.entry.gateway.server

import java.nio.ByteBuffer

/**
 * Splits the body of a stream into server-sent events, which end with an empty line. [onEvent] receives each of them
 * with the number in its `id` field, or null without one.
 */
internal class EventSplitter(private val onEvent: (bytes: ByteArray, id: Long?) -> Unit) {
    private var buffer = ByteArray(INITIAL_EVENT_BYTES)
    private var size = 0
    private var lineStart = 0
    private var id: Long? = null

    /** Adds the bytes of [part]. Throws [ResponseFaultException] if an event grows beyond [MAX_EVENT_BYTES]. */
    fun add(part: ByteBuffer) {
        while (part.hasRemaining()) {
            val byte = part.get()
            append(byte)
            if (byte == LINE_FEED) endLine()
        }
    }

    /** Passes on what follows the last complete event, if anything does. */
    fun finish() {
        if (size > 0) emit()
    }

    private fun append(byte: Byte) {
        if (size == MAX_EVENT_BYTES) {
            throw ResponseFaultException(ResponseFault.EVENT_TOO_LARGE, "an event of over $MAX_EVENT_BYTES bytes")
        }
        if (size == buffer.size) buffer = buffer.copyOf(size * 2)
        buffer[size++] = byte
    }

    private fun endLine() {
        val lineEnd = if (size - 2 >= lineStart && buffer[size - 2] == CARRIAGE_RETURN) size - 2 else size - 1
        val line = String(buffer, lineStart, lineEnd - lineStart, Charsets.ISO_8859_1)
        lineStart = size
        if (line.isEmpty()) return emit()
        if (line.startsWith(ID_PREFIX)) id = line.removePrefix(ID_PREFIX).trim().toLongOrNull() ?: id
    }

    private fun emit() {
        val bytes = buffer.copyOf(size)
        val eventId = id
        if (buffer.size > MAX_KEPT_BYTES) buffer = ByteArray(INITIAL_EVENT_BYTES)
        size = 0
        lineStart = 0
        id = null
        onEvent(bytes, eventId)
    }

    private companion object {
        const val INITIAL_EVENT_BYTES = 256

        /** Size up to which the buffer of a large event is kept for the next one. */
        const val MAX_KEPT_BYTES = 8_192
        const val MAX_EVENT_BYTES = 131_072
        const val ID_PREFIX = "id:"
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
