package org.berylpoint.entry.gateway.caller

import jakarta.servlet.http.HttpServletRequest
import jakarta.servlet.http.HttpServletResponse
import org.eclipse.jetty.http.HttpVersion
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.util.BufferUtil
import java.io.IOException

/**
 * A [CallerExchange] over the servlet API. Writes block until the bytes are sent.
 *
 * A response of unknown length is sent in chunks, so that a caller can tell whether it is complete, however the
 * connection ends. HTTP/1.0 has no chunks: there a response is complete when its connection is closed in the orderly
 * way, and any other end resets the connection.
 */
internal class ServletExchange(
    override val request: CallerRequest,
    servletRequest: HttpServletRequest,
    private val response: HttpServletResponse,
    private val closesConnections: () -> Boolean,
) : CallerExchange {
    private val connection: EndPoint = servletRequest.connection()
    private val hasChunks = servletRequest.protocol != HttpVersion.HTTP_1_0.asString()
    private val probe = BufferUtil.allocate(PROBE_BYTES)
    private var isDisconnected = false
    private var isComplete = false
    private var isEnding = false

    /** Whether the disconnect check read bytes, which the next request now lacks; the connection can't be reused. */
    private var hasUnexpectedInput = false

    // Jetty reads nothing from the connection while a request is in progress, so only an explicit read detects that the
    // caller closed it. What else comes is dropped: the end of the input may be behind it. Once the response ends,
    // Jetty reads the next request.
    @Synchronized
    override fun isDisconnected(): Boolean {
        if (isDisconnected || isEnding) return isDisconnected
        try {
            repeat(MAX_READS_PER_CHECK) {
                BufferUtil.clear(probe)
                val read = connection.fill(probe)
                if (read < 0 || !connection.isOpen) isDisconnected = true
                if (read <= 0) return isDisconnected
                hasUnexpectedInput = true
            }
        } catch (e: IOException) {
            isDisconnected = true
        }
        return isDisconnected
    }

    /** Leaves the input to Jetty from now on. */
    @Synchronized
    private fun endInputChecks() {
        isEnding = true
    }

    override fun respond(status: Int, headers: List<Pair<String, String>>, body: ByteArray) {
        endInputChecks()
        writeHead(status, headers)
        if (request.method != "HEAD") response.setContentLength(body.size)
        response.outputStream.write(body)
        finish()
    }

    override fun startResponse(status: Int, headers: List<Pair<String, String>>) {
        writeHead(status, headers)
        // Without it, a response that also has "Connection: close" would end with the connection.
        if (hasChunks) response.setHeader("Transfer-Encoding", "chunked") else connection.setResetOnClose(true)
        response.flushBuffer()
    }

    override fun write(bytes: ByteArray) {
        response.outputStream.write(bytes)
        response.outputStream.flush()
    }

    override fun completeResponse() {
        endInputChecks()
        if (!hasChunks) connection.setResetOnClose(false)
        finish()
    }

    private fun finish() {
        response.outputStream.close()
        isComplete = true
        // Input that came after the head was sent, so that the caller does not know yet.
        if (hasUnexpectedInput) connection.close()
    }

    override fun abort() {
        connection.close()
        throw IOException("the response was aborted")
    }

    /** Closes the connection if the response is not complete; the server would complete it otherwise. */
    fun closeUnlessComplete() {
        endInputChecks()
        if (!isComplete) connection.close()
    }

    private fun writeHead(status: Int, headers: List<Pair<String, String>>) {
        // Javalin has set a content type of its own.
        response.reset()
        response.status = status
        for ((name, value) in headers) response.addHeader(name, value)
        if (hasUnexpectedInput || closesConnections()) response.setHeader("Connection", "close")
    }

    private companion object {
        const val PROBE_BYTES = 256

        /** Bounds the time of one check while a caller sends without end. */
        const val MAX_READS_PER_CHECK = 64
    }
}
