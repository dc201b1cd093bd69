package org.berylpoint.testkit.load

import kotlinx.coroutines.delay
import okhttp3.OkHttpClient
import okhttp3.Request
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Picks a ready entry instance at random, in the place of the platform's load balancer. */
internal class Balancer(private val entries: List<EntryAddress>, private val random: Random) {
    private val client = OkHttpClient.Builder().callTimeout(CHECK_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).build()

    @Volatile
    private var ready = entries

    /** Checks `/readyz` of every entry instance again and again, until cancelled. */
    suspend fun poll() {
        while (true) {
            ready = entries.filter { isReady(it) }.ifEmpty { entries }
            delay(CHECK_INTERVAL)
        }
    }

    /** The callers' address of a ready instance. */
    fun pick(): String = synchronized(random) { ready.random(random).callers }

    fun isReady(entry: EntryAddress): Boolean = try {
        client.newCall(Request.Builder().url("${entry.admin}/readyz").build()).execute().use { it.isSuccessful }
    } catch (e: IOException) {
        false
    }

    private companion object {
        val CHECK_INTERVAL = 250.milliseconds
        const val CHECK_TIMEOUT_MILLIS = 500L
    }
}
