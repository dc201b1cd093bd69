package org.berylpoint.entry.gateway.server

import org.berylpoint.model.BackendServerId

/**
 * Sends requests to backend servers over HTTP/1.1, each exactly once: nothing is sent again, redirected or rewritten.
 *
 * One thread serves all connections. A server may send anything at any time; what is not the response to the request in
 * progress never reaches a caller, and is passed to [onFault].
 */
public class HttpServerClient(onFault: (address: String, fault: ResponseFault) -> Unit = { _, _ -> }) :
    ServerClient,
    AutoCloseable {
    private val loop = ServerEventLoop()
    private val pool = ServerConnectionPool(loop, onFault)
    private val memory = ResponseMemory()

    override fun send(id: BackendServerId, address: String, request: ServerRequest): ServerExchange =
        HttpServerExchange(request, memory, pool).also { pool.send(address, it) }

    override fun close(): Unit = loop.close()
}
