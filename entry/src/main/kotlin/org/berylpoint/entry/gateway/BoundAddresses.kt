package org.berylpoint.entry.gateway

import kotlinx.coroutines.delay
import org.berylpoint.entry.gateway.caller.ListeningChannels
import org.berylpoint.entry.settings.GatewaySettings
import org.berylpoint.entry.settings.SocketAddress
import org.berylpoint.peer.ReportSocket
import java.net.BindException
import java.net.InetSocketAddress
import java.nio.channels.ServerSocketChannel
import kotlin.time.Duration.Companion.milliseconds

/**
 * The addresses on which an instance listens, all of them bound: with one of them missing it would be alive, and never
 * ready or never heard by its peers.
 */
internal class BoundAddresses private constructor(val http: ListeningChannels, val reports: ReportSocket) :
    AutoCloseable {
    override fun close() {
        http.all.forEach { it.close() }
        reports.close()
    }

    companion object {
        /** The process before, or another's outgoing connection, may hold an address for a moment. */
        private const val MAX_TRIES = 50
        private val RETRY_INTERVAL = 100.milliseconds

        /**
         * Binds the addresses of [settings], that of the callers first: those who connect then wait instead of being
         * refused. An address that is taken is tried again for some seconds; throws [BindException], which names it, if
         * it stays taken.
         */
        suspend fun bind(settings: GatewaySettings, log: DecisionLog): BoundAddresses = BoundAddresses(
            http = ListeningChannels(
                callers = listen(settings.callerAddress, log),
                readiness = listen(settings.readyAddress, log),
                metrics = listen(settings.metricsAddress, log),
            ),
            reports = whileTaken(settings.reportAddress, log) { ReportSocket.open(it.toString()) },
        )

        private suspend fun listen(address: SocketAddress, log: DecisionLog): ServerSocketChannel =
            whileTaken(address, log) {
                val channel = ServerSocketChannel.open()
                try {
                    channel.bind(InetSocketAddress(it.host, it.port), ListeningChannels.ACCEPT_QUEUE)
                } catch (e: BindException) {
                    channel.close()
                    throw e
                }
            }

        private suspend fun <T : Any> whileTaken(
            address: SocketAddress,
            log: DecisionLog,
            bind: (SocketAddress) -> T,
        ): T {
            repeat(MAX_TRIES) { failures ->
                bindOrNull(address, bind)?.let { return it }
                if (failures == 0) log.event("process", "an address can't be bound yet", "address" to address)
                delay(RETRY_INTERVAL)
            }
            throw BindException("$address can't be bound")
        }

        private fun <T> bindOrNull(address: SocketAddress, bind: (SocketAddress) -> T): T? = try {
            bind(address)
        } catch (_: BindException) {
            null
        }
    }
}
