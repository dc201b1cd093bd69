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
 * A [ReportChannel] over UDP, with one datagram a report and receiver.
 *
 * One thread handles the datagrams that have arrived every [RECEIVE_INTERVAL_MILLIS]. At hundreds of instances, waking
 * up for each of them, or passing each on to another thread, would cost more than reading it.
 */
public class ReportSocket private constructor(private val channel: DatagramChannel) : ReportChannel {
    private val targets = ConcurrentHashMap<String, InetSocketAddress>()

    override val traffic: ReportTraffic = ReportTraffic()

    /** Calls [handle], on the socket's own thread, for each report that arrives; malformed ones are dropped. */
    override fun receive(handle: (NodeReport) -> Unit) {
        thread(name = "peer-reports", isDaemon = true) {
            val buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES)
            while (channel.isOpen) {
                receiveArrived(buffer, handle)
                Thread.sleep(RECEIVE_INTERVAL_MILLIS)
            }
        }
    }

    override fun send(report: NodeReport, addresses: Collection<String>) {
        val bytes = ByteBuffer.wrap(NodeReportCodec.encode(report))
        traffic.count(addresses.size, bytes.limit())
        for (address in addresses) {
            try {
                channel.send(bytes.rewind(), targets.getOrPut(address) { socketAddress(address) })
            } catch (e: IOException) {
                log.debug { "peer: no datagram to $address: ${e.message}" }
            }
        }
    }

    override fun close(): Unit = channel.close()

    private fun receiveArrived(buffer: ByteBuffer, handle: (NodeReport) -> Unit) {
        try {
            while (channel.receive(buffer.clear()) != null) handleDatagram(buffer.flip(), handle)
        } catch (e: ClosedChannelException) {
            log.debug { "peer: the report socket was closed" }
        } catch (e: IOException) {
            log.warn { "peer: receiving reports failed: ${e.message}" }
        }
    }

    private fun handleDatagram(datagram: ByteBuffer, handle: (NodeReport) -> Unit) {
        try {
            handle(NodeReportCodec.decode(ByteArray(datagram.remaining()).also(datagram::get)))
        } catch (e: Exception) {
            log.warn { "peer: a datagram could not be read: ${e.message}" }
        }
    }

    public companion object {
        private const val MAX_DATAGRAM_BYTES = 65_535

        /** Longest time that a report waits before it is handled; short against the time between two reports. */
        public const val RECEIVE_INTERVAL_MILLIS: Long = 40

        /** Opens the socket on an IP number and port. */
        public fun open(address: String): ReportSocket =
            ReportSocket(DatagramChannel.open().bind(socketAddress(address)).apply { configureBlocking(false) })

        private fun socketAddress(address: String) =
            InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
    }
}
