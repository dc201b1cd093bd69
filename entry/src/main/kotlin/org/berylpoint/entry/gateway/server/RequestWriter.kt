package org.berylpoint.entry.gateway.server

import java.nio.ByteBuffer
import java.nio.channels.SocketChannel

/** Sends one request in HTTP/1.1: the caller's method, target, headers and body as they are, and the body's length. */
internal class RequestWriter(address: String, request: ServerRequest) {
    private val body = request.body
    private val head = headOf(address, request).toByteArray(Charsets.ISO_8859_1)
    private var sent = 0

    /** Whether the connection accepted any byte of the request. */
    val isStarted: Boolean get() = sent > 0
    val isComplete: Boolean get() = sent == head.size + body.size

    /** Writes as much as [channel] accepts now, by way of [buffer]. */
    fun writeTo(channel: SocketChannel, buffer: ByteBuffer) {
        while (!isComplete) {
            fill(buffer.clear())
            sent += channel.write(buffer.flip())
            if (buffer.hasRemaining()) return
        }
    }

    private fun fill(buffer: ByteBuffer) {
        if (sent < head.size) buffer.put(head, sent, minOf(head.size - sent, buffer.remaining()))
        val bodyStart = maxOf(sent - head.size, 0)
        buffer.put(body, bodyStart, minOf(body.size - bodyStart, buffer.remaining()))
    }

    private fun headOf(address: String, request: ServerRequest) = buildString {
        append(request.method).append(' ').append(request.target).append(" HTTP/1.1\r\n")
        if (request.headers.none { it.first.equals("Host", ignoreCase = true) }) header("Host", address)
        for ((name, value) in request.headers) header(name, value)
        if (body.isNotEmpty() || request.method !in METHODS_WITHOUT_BODY) header("Content-Length", "${body.size}")
        append("\r\n")
    }

    private fun StringBuilder.header(name: String, value: String) {
        append(name).append(": ").append(value).append("\r\n")
    }

    private companion object {
        val METHODS_WITHOUT_BODY = setOf("GET", "HEAD")
    }
}
