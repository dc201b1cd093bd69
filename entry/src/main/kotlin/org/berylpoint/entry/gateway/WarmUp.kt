package org.berylpoint.entry.gateway

import arrow.core.getOrElse
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.berylpoint.entry.settings.GatewaySettings
import org.berylpoint.entry.settings.SocketAddress
import org.berylpoint.platform.sample.SampleSite
import org.berylpoint.platform.wire.RequestHeaders
import java.io.File
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket

/**
 * Starts an instance against a [SampleSite] on loopback and serves some requests, so that the classes of the serving
 * path are loaded when the Java runtime writes a class-data archive at exit.
 */
internal class WarmUp(private val wallClock: () -> Long) {
    /** Returns the number of requests that were answered with success. */
    fun run(): Int = SampleSite().use { site ->
        val settings = settings(site)
        GatewayProcess(settings, wallClock).start()
        val client = OkHttpClient()
        var served = 0
        repeat(REQUEST_ROUNDS) {
            for (path in listOf(site.plainPath, site.streamPath)) if (send(client, settings, site, path)) served++
            Thread.sleep(ROUND_PAUSE_MILLIS)
        }
        served
    }

    private fun send(client: OkHttpClient, settings: GatewaySettings, site: SampleSite, path: String): Boolean {
        val request = Request.Builder().url("http://${settings.callerAddress}$path")
            .header("Host", site.host)
            .header(RequestHeaders.REQUEST_ID, "warm-up")
            .header(RequestHeaders.AUTHORIZATION, "Bearer ${site.key}")
            .header(RequestHeaders.TOKENS, "10,10")
            .post("{}".encodeToByteArray().toRequestBody())
            .build()
        return try {
            client.newCall(request).execute().use { it.isSuccessful && it.body.string().isNotEmpty() }
        } catch (e: IOException) {
            false
        }
    }

    /** Settings that are read from a file, as at any start, so that the classes of the reader are loaded too. */
    private fun settings(site: SampleSite): GatewaySettings {
        val file = File.createTempFile("warm-up", ".ini")
        try {
            file.writeText(settingsText(site))
            return GatewaySettings.read(file).getOrElse { error("the settings of the warm-up are invalid: $it") }
        } finally {
            file.delete()
        }
    }

    private fun settingsText(site: SampleSite) = """
        [instance]
        id = warm-up
        failure-domain = sample
        caller-address = ${freeAddress()}
        ready-address = ${freeAddress()}
        report-address = ${freeAddress()}
        metrics-address = ${freeAddress()}
        grace-seconds = 1
        [platform]
        store-address = ${site.address}
        cloud-address = ${site.address}
        first-start = true
        [bounds]
        usage-window-seconds = 1
    """.trimIndent()

    private fun freeAddress(): SocketAddress =
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { SocketAddress("127.0.0.1", it.localPort) }

    private companion object {
        const val REQUEST_ROUNDS = 12
        const val ROUND_PAUSE_MILLIS = 250L
    }
}
