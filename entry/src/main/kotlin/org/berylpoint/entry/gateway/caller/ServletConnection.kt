package org.berylpoint.entry.gateway.caller

import jakarta.servlet.http.HttpServletRequest
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.util.NanoTime
import java.net.StandardSocketOptions
import java.nio.channels.SocketChannel

/**
 * The TCP connection of this request. To abort a response, close the connection: if the handler throws instead, the
 * server still completes a response whose head was sent.
 */
public fun HttpServletRequest.connection(): EndPoint =
    ServletContextRequest.getServletContextRequest(this).connectionMetaData.connection.endPoint

/** Milliseconds since the first byte of this request was read: it may have waited for its body and for a thread. */
internal fun HttpServletRequest.ageMillis(): Long =
    NanoTime.millisSince(ServletContextRequest.getServletContextRequest(this).beginNanoTime)

/**
 * Sets whether the end of the connection resets it, also when the process is killed. Bytes that were written but not
 * yet sent are lost with a reset, so turn it off before an orderly end.
 */
internal fun EndPoint.setResetOnClose(isOn: Boolean) {
    val channel = transport as? SocketChannel ?: return
    channel.setOption(StandardSocketOptions.SO_LINGER, if (isOn) 0 else LINGER_OFF)
}

/** Value of `SO_LINGER` with which a close returns at once and the bytes are still sent. */
private const val LINGER_OFF = -1
