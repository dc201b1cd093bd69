package org.berylpoint.entry.gateway.server

import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import kotlin.time.Duration.Companion.milliseconds

/** What the connections of a [ServerConnectionPool] report to it, on the event loop's thread. */
internal interface ConnectionOwner {
    /** The response is complete, and the connection can carry another request. */
    fun onIdle(connection: ServerConnection)

    fun onClosed(connection: ServerConnection)

    fun onFault(address: String, fault: ResponseFault)
}

/**
 * One TCP connection to the server at [address], with at most one request at a time. Only used on the thread of [loop].
 *
 * After any doubt the connection is closed: it is used again only when the response was complete, delimited and
 * identified, the whole request was sent before, and nothing follows.
 */
internal class ServerConnection(
    val address: String,
    private val loop: ServerEventLoop,
    private val owner: ConnectionOwner,
) : ReadinessHandler {
    private val channel = SocketChannel.open()
    private var key: SelectionKey? = null
    private var connectTimer: LoopTimer? = null
    private var exchange: HttpServerExchange? = null
    private var writer: RequestWriter? = null
    private var parser: ResponseParser? = null

    /** Connects, and then sends the request of [exchange]. */
    fun connectFor(exchange: HttpServerExchange) {
        begin(exchange)
        try {
            connect()
        } catch (e: IOException) {
            onFailure(e)
        }
    }

    /** Sends the request of [exchange]; false, with the connection closed, if the idle connection can't be used. */
    fun tryReuseFor(exchange: HttpServerExchange): Boolean {
        if (!isQuiet()) return false
        begin(exchange)
        exchange.isOnReusedConnection = true
        try {
            write()
        } catch (e: IOException) {
            onFailure(e)
        }
        return true
    }

    /** Reads on after the caller has taken events that were waiting. */
    fun resumeReading() {
        if (exchange?.isBacklogged == false) setInterest(SelectionKey.OP_READ, true)
    }

    /** Closes the connection at once. The server gets a reset, so it does not take the request for a complete one. */
    fun close() {
        exchange = null
        connectTimer?.cancel()
        channel.close()
        owner.onClosed(this)
    }

    override fun onReady(key: SelectionKey) {
        if (key.isConnectable && channel.finishConnect()) onConnected()
        if (key.isValid && key.isWritable) write()
        if (key.isValid && key.isReadable) read()
    }

    override fun onFailure(cause: IOException) {
        val isSent = writer?.isStarted == true
        if (cause is ResponseFaultException) owner.onFault(address, cause.fault)
        val failed = exchange
        close()
        failed?.fail(isSent, causeText(cause))
    }

    private fun causeText(cause: IOException) = when (cause) {
        is ResponseFaultException -> "${cause.fault.label}: ${cause.message}"
        else -> "${cause::class.simpleName}: ${cause.message}"
    }

    private fun begin(exchange: HttpServerExchange) {
        this.exchange = exchange
        writer = RequestWriter(address, exchange.request)
        parser = ResponseParser(exchange.request.method == "HEAD", exchange)
    }

    private fun connect() {
        channel.configureBlocking(false)
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
        // Closing resets the connection: bytes that a partition holds up are then lost instead of arriving late.
        channel.setOption(StandardSocketOptions.SO_LINGER, 0)
        val host = address.substringBeforeLast(':')
        val isConnected = channel.connect(InetSocketAddress(host, address.substringAfterLast(':').toInt()))
        key = loop.register(channel, SelectionKey.OP_CONNECT or SelectionKey.OP_WRITE, this)
        if (isConnected) return onConnected()
        connectTimer = loop.schedule(CONNECT_TIMEOUT) { onFailure(IOException("no connection in $CONNECT_TIMEOUT")) }
    }

    private fun onConnected() {
        connectTimer?.cancel()
        setInterest(SelectionKey.OP_CONNECT, false)
    }

    private fun write() {
        val writer = writer ?: return
        if (!writer.isStarted) exchange?.request?.findObstacle?.invoke()?.let { return withhold(it) }
        try {
            writer.writeTo(channel, loop.buffer)
        } catch (e: IOException) {
            return readAfterFailedWrite(e)
        }
        key?.interestOps(SelectionKey.OP_READ or if (writer.isComplete) 0 else SelectionKey.OP_WRITE)
    }

    /**
     * Reads what came before the connection failed, which may be a complete response to a part of the request. The
     * write has taken the error with it, so the input seems to end in the orderly way, which completes nothing here.
     */
    private fun readAfterFailedWrite(cause: IOException) {
        val exchange = exchange ?: throw cause
        while (parser?.isComplete == false && !exchange.isBacklogged) {
            val input = loop.buffer.clear()
            if (channel.read(input) <= 0) break
            parser?.parse(input.flip())
        }
        if (parser?.isComplete != true) throw cause
        end(exchange, hasMore = false)
    }

    private fun withhold(obstacle: SendObstacle) {
        val withheld = exchange
        close()
        withheld?.withhold(obstacle)
    }

    private fun read() {
        val input = loop.buffer.clear()
        val count = channel.read(input)
        val exchange = exchange
        if (exchange == null) {
            if (count > 0) owner.onFault(address, ResponseFault.UNREQUESTED)
            close()
            return
        }
        if (count < 0) parser?.endOfInput(writer?.isComplete == true) else parser?.parse(input.flip())
        when {
            parser?.isComplete == true -> end(exchange, hasMore = count > 0 && input.hasRemaining())
            exchange.isBacklogged -> pauseReading(exchange)
        }
    }

    private fun pauseReading(exchange: HttpServerExchange) {
        setInterest(SelectionKey.OP_READ, false)
        // The caller may have taken the last waiting event just before.
        if (!exchange.isBacklogged) setInterest(SelectionKey.OP_READ, true)
    }

    private fun end(ended: HttpServerExchange, hasMore: Boolean) {
        if (hasMore) owner.onFault(address, ResponseFault.UNREQUESTED)
        val isReusable = !hasMore &&
            !ended.request.needsNewConnection &&
            ended.isIdentified &&
            parser?.isReusable == true &&
            writer?.isComplete == true
        exchange = null
        if (!isReusable) return close()
        owner.onIdle(this)
    }

    /** Whether the idle connection is open and has no unread bytes; closes it otherwise. */
    private fun isQuiet(): Boolean {
        val count = try {
            channel.read(loop.buffer.clear())
        } catch (e: IOException) {
            END_OF_INPUT
        }
        if (count == 0) return true
        if (count > 0) owner.onFault(address, ResponseFault.UNREQUESTED)
        close()
        return false
    }

    private fun setInterest(operation: Int, isOn: Boolean) {
        val key = key?.takeIf { it.isValid } ?: return
        val interest = key.interestOps()
        key.interestOps(if (isOn) interest or operation else interest and operation.inv())
    }

    private companion object {
        const val END_OF_INPUT = -1
        val CONNECT_TIMEOUT = 200.milliseconds
    }
}
