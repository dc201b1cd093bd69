package org.berylpoint.entry.gateway

import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.berylpoint.entry.settings.GatewayBounds
import org.berylpoint.entry.settings.GatewaySettings
import org.berylpoint.entry.settings.SocketAddress
import org.berylpoint.model.FailureDomain
import org.berylpoint.platform.sample.SampleSite
import org.berylpoint.platform.wire.RequestHeaders
import org.berylpoint.policy.quota.CapTolerance
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket

/**
 * Starts an instance against a [SampleSite] on loopback and serves some requests, so that the classes of the serving
 * path are loaded when the Java runtime writes a class-data archive at exit.
 */
internal class WarmUp(private val timeOfDay: () -> Long) {
    fun run(): Int = SampleSite().use { site ->
        val settings = settings(site)
        GatewayProcess(settings, timeOfDay).start()
        val client = OkHttpClient()
        var served = 0
        repeat(ROUNDS) {
            for (path in listOf(site.plainPath, site.streamPath)) if (ask(client, settings, site, path)) served++
            Thread.sleep(PAUSE_MILLIS)
        }
        served
    }

    private fun ask(client: OkHttpClient, settings: GatewaySettings, site: SampleSite, path: String): Boolean {
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

    private fun settings(site: SampleSite) = GatewaySettings(
        instance = "warm-up",
        domain = FailureDomain("sample"),
        callerAddress = freeAddress(),
        readyAddress = freeAddress(),
        reportAddress = freeAddress(),
        metricsAddress = freeAddress(),
        graceSeconds = 1,
        storeAddress = site.address,
        cloudAddress = site.address,
        bounds = GatewayBounds(3_000, 1_000, 10_000, 0.1, 10.0, 10_000, CapTolerance(8_000, 0.1, 100.0)),
    )

    private fun freeAddress(): SocketAddress =
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { SocketAddress("127.0.0.1", it.localPort) }

    private companion object {
        const val ROUNDS = 12
        const val PAUSE_MILLIS = 250L
    }
}
