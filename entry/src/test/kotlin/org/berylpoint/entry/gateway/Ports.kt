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
        val file = settingsFile(site)
        try {
            return GatewaySettings.read(file).getOrElse { error("invalid settings: $it") }
        } finally {
            file.delete()
        }
    }

    /** Starts a process of its own that listens on these ports and belongs to [site]. */
    fun startServing(site: SampleSite): Process {
        val file = settingsFile(site).apply { deleteOnExit() }
        val java = File(System.getProperty("java.home"), "bin/java").path
        val command = listOf(java, "-cp", System.getProperty("java.class.path"), MAIN_CLASS, "serve", "--settings")
        return ProcessBuilder(command + file.path)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start()
    }

    private fun settingsFile(site: SampleSite): File = File.createTempFile("gateway", ".ini").apply {
        writeText(
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
    }

    companion object {
        private const val MAIN_CLASS = "org.berylpoint.entry.node.BerylpointCommandKt"

        fun free(): Ports {
            val sockets = List(4) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
            val numbers = sockets.map { it.localPort }
            sockets.forEach(ServerSocket::close)
            return Ports(numbers[0], numbers[1], numbers[2], numbers[3])
        }
    }
}
