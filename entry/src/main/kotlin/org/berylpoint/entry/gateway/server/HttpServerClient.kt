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

    public companion object {
        /**
         * Whether [target] is sent as it is and means the same to every server. A server may resolve dot segments, and
         * would then run a request outside of the route that matched it.
         */
        public fun isSendable(target: String): Boolean =
            TARGET.matches(target) && target.substringBefore('?').split('/').none { DOT_SEGMENT.matches(it) }

        /** Path of RFC 3986, and any visible characters as the query. */
        private val TARGET = Regex("""(?:/(?:[\w\-.~!$&'()*+,;=:@]|%[0-9A-Fa-f]{2})*)+(?:\?[!-"$-~]*)?""")
        private val DOT_SEGMENT = Regex("""(?:\.|%2e){1,2}""", RegexOption.IGNORE_CASE)
    }
}
