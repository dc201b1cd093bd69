package org.berylpoint.entry.gateway.caller

import jakarta.servlet.http.HttpServletRequest
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.io.EndPoint

/**
 * The TCP connection that this request came on. Closing it breaks the answer off; an exception from the handler does
 * not, for the server still ends an answer whose head is sent.
 */
public fun HttpServletRequest.connection(): EndPoint =
    ServletContextRequest.getServletContextRequest(this).connectionMetaData.connection.endPoint
