package org.berylpoint.entry.gateway.caller

import jakarta.servlet.http.HttpServletRequest
import jakarta.servlet.http.HttpServletResponse
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.util.BufferUtil
import java.io.IOException

/** A caller's request on a connection of the HTTP server. Calls block until the bytes are written. */
internal class ServletExchange(
    override val request: CallerRequest,
    servletRequest: HttpServletRequest,
    private val response: HttpServletResponse,
    private val closesConnections: () -> Boolean,
) : CallerExchange {
    private val connection: EndPoint = servletRequest.connection()
    private val probe = BufferUtil.allocate(1)
    private var isDisconnected = false

    /** Whether a byte that belongs to no request was read, so that the connection can't go on. */
    private var isSpoilt = false

    // The server reads nothing while a request is in progress, so only a read of our own shows the end of the
    // connection.
    override fun isDisconnected(): Boolean {
        if (isDisconnected || isSpoilt) return isDisconnected
        try {
            BufferUtil.clear(probe)
            val read = connection.fill(probe)
            if (read < 0 || !connection.isOpen) isDisconnected = true
            if (read > 0) isSpoilt = true
        } catch (e: IOException) {
            isDisconnected = true
        }
        return isDisconnected
    }

    override fun respond(status: Int, headers: List<Pair<String, String>>, body: ByteArray) {
        start(status, headers)
        if (request.method != "HEAD") response.setContentLength(body.size)
        response.outputStream.write(body)
        response.outputStream.close()
    }

    override fun startResponse(status: Int, headers: List<Pair<String, String>>) {
        start(status, headers)
        response.flushBuffer()
    }

    override fun write(bytes: ByteArray) {
        response.outputStream.write(bytes)
        response.outputStream.flush()
    }

    override fun completeResponse() = response.outputStream.close()

    override fun abort() {
        connection.close()
        throw IOException("the answer was broken off")
    }

    private fun start(status: Int, headers: List<Pair<String, String>>) {
        response.status = status
        for ((name, value) in headers) response.addHeader(name, value)
        if (isSpoilt || closesConnections()) response.setHeader("Connection", "close")
    }
}
