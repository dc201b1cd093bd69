package org.berylpoint.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.nio.channels.ClosedChannelException
import java.nio.channels.DatagramChannel
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

private val log = KotlinLogging.logger {}

/**
 * Sends and receives [NodeReport]s as UDP datagrams. Datagrams may be lost; nothing is sent again.
 *
 * One thread blocks in the receive call and handles each datagram itself: at hundreds of instances, passing every
 * datagram on to another thread would cost more than reading it.
 */
public class ReportSocket private constructor(private val channel: DatagramChannel) : AutoCloseable {
    private val targets = ConcurrentHashMap<String, InetSocketAddress>()

    /** Calls [handle], on the socket's own thread, for each report that arrives; malformed ones are dropped. */
    public fun receive(handle: (NodeReport) -> Unit) {
        thread(name = "peer-reports", isDaemon = true) {
            val buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES)
            while (receiveOne(buffer, handle)) Unit
        }
    }

    /** Sends [report] to each of [addresses], given as IP number and port. */
    public fun send(report: NodeReport, addresses: Collection<String>) {
        val bytes = ByteBuffer.wrap(NodeReportCodec.encode(report))
        for (address in addresses) {
            try {
                channel.send(bytes.rewind(), targets.getOrPut(address) { socketAddress(address) })
            } catch (e: IOException) {
                log.debug { "peer: no datagram to $address: ${e.message}" }
            }
        }
    }

    override fun close(): Unit = channel.close()

    /** Handles one datagram; false once the socket is closed. */
    private fun receiveOne(buffer: ByteBuffer, handle: (NodeReport) -> Unit): Boolean {
        try {
            channel.receive(buffer.clear())
            buffer.flip()
            handle(NodeReportCodec.decode(ByteArray(buffer.remaining()).also(buffer::get)))
        } catch (e: ClosedChannelException) {
            return false
        } catch (e: Exception) {
            log.warn { "peer: a datagram could not be read: ${e.message}" }
        }
        return true
    }

    public companion object {
        private const val MAX_DATAGRAM_BYTES = 65_535

        /** Opens the socket on an IP number and port. */
        public fun open(address: String): ReportSocket =
            ReportSocket(DatagramChannel.open().bind(socketAddress(address)))

        private fun socketAddress(address: String) =
            InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
    }
}
