package org.berylpoint.entry.gateway.caller

import jakarta.servlet.http.HttpServletRequest
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.io.EndPoint

/**
 * The TCP connection of this request. To abort a response, close the connection: if the handler throws instead, the
 * server still completes a response whose head was sent.
 */
public fun HttpServletRequest.connection(): EndPoint =
    ServletContextRequest.getServletContextRequest(this).connectionMetaData.connection.endPoint
