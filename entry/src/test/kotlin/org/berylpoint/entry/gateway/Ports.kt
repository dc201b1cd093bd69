package org.berylpoint.entry.gateway

import arrow.core.getOrElse
import org.berylpoint.entry.settings.GatewaySettings
import org.berylpoint.platform.sample.SampleSite
import java.io.File
import java.net.InetAddress
import java.net.ServerSocket

/** Free ports on loopback for one process. */
internal class Ports(val callers: Int, val ready: Int, val report: Int, val metrics: Int) {
    /** Settings of a process that listens on these ports and belongs to [site]. */
    fun settings(site: SampleSite): GatewaySettings {
        val file = File.createTempFile("gateway", ".ini")
        try {
            file.writeText(
                """
                [instance]
                id = tested
                failure-domain = sample
                caller-address = 127.0.0.1:$callers
                ready-address = 127.0.0.1:$ready
                report-address = 127.0.0.1:$report
                metrics-address = 127.0.0.1:$metrics
                grace-seconds = 5
                [platform]
                store-address = ${site.address}
                """.trimIndent(),
            )
            return GatewaySettings.read(file).getOrElse { error("invalid settings: $it") }
        } finally {
            file.delete()
        }
    }

    companion object {
        fun free(): Ports {
            val sockets = List(4) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
            val numbers = sockets.map { it.localPort }
            sockets.forEach(ServerSocket::close)
            return Ports(numbers[0], numbers[1], numbers[2], numbers[3])
        }
    }
}
