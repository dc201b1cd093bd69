package org.berylpoint.peer

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * Forwards TCP connections to a port on loopback; connections open at [silence] forward nothing more, without being
 * closed, while later ones work. This is what a middlebox that lost its state does.
 */
internal class SilentForwarder(private val targetPort: Int) : AutoCloseable {
    private class Pair(val client: Socket, val target: Socket) {
        @Volatile
        var isSilent = false
    }

    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val pairs = CopyOnWriteArrayList<Pair>()

    val address: String get() = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) { ignoringClose { while (true) open(server.accept()) } }
    }

    fun silence() = pairs.forEach { it.isSilent = true }

    override fun close() {
        server.close()
        pairs.forEach {
            it.client.close()
            it.target.close()
        }
    }

    private fun open(client: Socket) {
        val pair = Pair(client, Socket(InetAddress.getLoopbackAddress(), targetPort))
        pairs += pair
        thread(isDaemon = true) { ignoringClose { copy(pair, client, pair.target) } }
        thread(isDaemon = true) { ignoringClose { copy(pair, pair.target, client) } }
    }

    private fun copy(pair: Pair, from: Socket, to: Socket) {
        val buffer = ByteArray(4096)
        while (true) {
            val count = from.getInputStream().read(buffer)
            if (count < 0) return
            if (!pair.isSilent) to.getOutputStream().write(buffer, 0, count)
        }
    }

    private fun ignoringClose(block: () -> Unit) {
        try {
            block()
        } catch (_: IOException) {
            // A socket was closed at the end of the test.
        }
    }
}
