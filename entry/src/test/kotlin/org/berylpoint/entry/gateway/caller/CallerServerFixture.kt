package org.berylpoint.entry.gateway.caller

import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.nio.channels.ServerSocketChannel

/** The callers' HTTP server on loopback, with [serve] in place of the request path. */
internal class CallerServerFixture(
    closesConnections: Boolean = false,
    maxBodyBytes: Int = MAX_BODY_BYTES,
    serve: suspend (CallerExchange) -> Unit,
) : AutoCloseable {
    private val channels = ListeningChannels(listen(), listen(), listen())
    private val port = channels.callers.socket().localPort
    private val server = GatewayHttpServer(
        channels,
        PrometheusRegistry(),
        GatewayHttpHandlers(serve, { true }, { closesConnections }, { "" }, { maxBodyBytes }),
    ).also { it.start() }

    override fun close() = server.close()

    /** A new connection of a caller. */
    fun connect(): Socket = Socket(LOOPBACK, port).apply { soTimeout = READ_TIMEOUT_MILLIS }

    /** Sends [request] and returns all bytes up to the end of the connection; [endsInput] closes the sending side. */
    fun exchange(request: String, endsInput: Boolean = false): ByteArray = connect().use {
        it.getOutputStream().write(request.encodeToByteArray())
        if (endsInput) it.shutdownOutput()
        it.getInputStream().readAllBytes()
    }

    private companion object {
        val LOOPBACK: InetAddress = InetAddress.getByName("127.0.0.1")
        const val MAX_BODY_BYTES = 1_000
        const val READ_TIMEOUT_MILLIS = 10_000

        fun listen(): ServerSocketChannel = ServerSocketChannel.open().bind(InetSocketAddress(LOOPBACK, 0))
    }
}
