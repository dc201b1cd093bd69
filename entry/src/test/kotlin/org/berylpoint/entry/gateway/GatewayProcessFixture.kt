package org.berylpoint.entry.gateway

import arrow.core.getOrElse
import org.berylpoint.entry.settings.GatewaySettings
import org.berylpoint.platform.sample.SampleSite
import java.io.File
import java.net.InetAddress
import java.net.ServerSocket

/** Free ports on loopback for one process. */
internal class Ports(val callers: Int, val ready: Int, val report: Int, val metrics: Int) {
    companion object {
        fun free(): Ports {
            val sockets = List(4) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
            val numbers = sockets.map { it.localPort }
            sockets.forEach(ServerSocket::close)
            return Ports(numbers[0], numbers[1], numbers[2], numbers[3])
        }
    }
}

/** Settings of a process of the site [site] that listens on [ports]. */
internal fun gatewaySettings(site: SampleSite, ports: Ports): GatewaySettings {
    val file = File.createTempFile("stop-test", ".ini")
    try {
        file.writeText(
            """
            [instance]
            id = stopping
            failure-domain = sample
            caller-address = 127.0.0.1:${ports.callers}
            ready-address = 127.0.0.1:${ports.ready}
            report-address = 127.0.0.1:${ports.report}
            metrics-address = 127.0.0.1:${ports.metrics}
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
