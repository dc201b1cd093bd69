package org.berylpoint.entry.gateway.server

import io.github.oshai.kotlinlogging.KotlinLogging
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * The connections to all servers. Idle ones are kept for a short time and used again, the one used last first.
 *
 * All state belongs to the thread of [loop]; methods without a note run on it.
 */
internal class ServerConnectionPool(
    private val loop: ServerEventLoop,
    private val onResponseFault: (address: String, fault: ResponseFault) -> Unit,
) : ConnectionOwner,
    ExchangeConnection {
    private class Idle(val connection: ServerConnection, val expiry: LoopTimer)

    private val idle = HashMap<String, ArrayDeque<Idle>>()
    private var idleCount = 0
    private val busy = HashMap<HttpServerExchange, ServerConnection>()

    /** Sends the request of [exchange] to the server at [address]. Callable from any thread. */
    fun send(address: String, exchange: HttpServerExchange): Unit = loop.execute {
        try {
            start(address, exchange)
        } catch (e: RuntimeException) {
            logger.error(e) { "server: a request to $address could not be started" }
            busy[exchange]?.onFailure(IOException("${e::class.simpleName}: ${e.message}", e))
        }
    }

    /** Callable from any thread. */
    override fun closeFor(exchange: HttpServerExchange): Unit = loop.execute { busy[exchange]?.close() }

    /** Callable from any thread. */
    override fun resumeReading(exchange: HttpServerExchange): Unit = loop.execute { busy[exchange]?.resumeReading() }

    override fun onIdle(connection: ServerConnection) {
        busy.values.remove(connection)
        if (idleCount >= MAX_IDLE_CONNECTIONS) return connection.close()
        val expiry = loop.schedule(IDLE_TIMEOUT) { connection.close() }
        idle.getOrPut(connection.address) { ArrayDeque() }.addLast(Idle(connection, expiry))
        idleCount++
    }

    override fun onClosed(connection: ServerConnection) {
        busy.values.remove(connection)
        val ofServer = idle[connection.address] ?: return
        val entry = ofServer.firstOrNull { it.connection === connection } ?: return
        ofServer.remove(entry)
        forget(entry, ofServer, connection.address)
    }

    override fun onFault(address: String, fault: ResponseFault): Unit = onResponseFault(address, fault)

    private fun start(address: String, exchange: HttpServerExchange) {
        if (exchange.isCancelled) return
        while (!exchange.request.needsNewConnection) {
            val connection = takeIdle(address) ?: break
            busy[exchange] = connection
            if (connection.tryReuseFor(exchange)) return
        }
        val connection = ServerConnection(address, loop, this)
        busy[exchange] = connection
        connection.connectFor(exchange)
    }

    private fun takeIdle(address: String): ServerConnection? {
        val ofServer = idle[address] ?: return null
        val entry = ofServer.removeLast()
        forget(entry, ofServer, address)
        return entry.connection
    }

    private fun forget(entry: Idle, ofServer: ArrayDeque<Idle>, address: String) {
        entry.expiry.cancel()
        idleCount--
        if (ofServer.isEmpty()) idle.remove(address)
    }

    private companion object {
        /** Shorter than the idle timeout of the servers, so that no request is sent on a connection that they close. */
        val IDLE_TIMEOUT = 3.seconds
        const val MAX_IDLE_CONNECTIONS = 128
    }
}
