package org.berylpoint.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import kotlinx.io.Buffer
import kotlinx.io.readByteArray

private val log = KotlinLogging.logger {}

/** Sends and receives [NodeReport]s as UDP datagrams. Datagrams may be lost; nothing is sent again. */
public class ReportSocket private constructor(private val socket: BoundDatagramSocket) : AutoCloseable {
    /** Calls [handle] for each report that arrives; malformed ones are dropped. */
    public fun receive(scope: CoroutineScope, handle: (NodeReport) -> Unit) {
        scope.launch {
            for (datagram in socket.incoming) {
                try {
                    handle(NodeReportCodec.decode(datagram.packet.readByteArray()))
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Exception) {
                    log.warn { "peer: a datagram could not be read: ${e.message}" }
                }
            }
        }
    }

    /** Sends [report] to each of [addresses], given as IP number and port. */
    public suspend fun send(report: NodeReport, addresses: Collection<String>) {
        val bytes = NodeReportCodec.encode(report)
        for (address in addresses) {
            val target = InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
            try {
                socket.send(Datagram(Buffer().apply { write(bytes) }, target))
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                log.debug { "peer: no datagram to $address: ${e.message}" }
            }
        }
    }

    override fun close(): Unit = socket.close()

    public companion object {
        /** Opens the socket on an IP number and port. */
        public suspend fun open(address: String): ReportSocket {
            val selector = SelectorManager(Dispatchers.IO)
            val local = InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
            return ReportSocket(aSocket(selector).udp().bind(local))
        }
    }
}
