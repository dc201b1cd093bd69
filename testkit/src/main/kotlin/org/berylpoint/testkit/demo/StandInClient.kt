package org.berylpoint.testkit.demo

import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.berylpoint.platform.http.ComputeInstance
import org.berylpoint.testkit.standin.JournalEvent
import java.io.IOException
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.ExperimentalTime

/** Talks to the control paths of the stand-ins. */
@OptIn(ExperimentalTime::class)
internal class StandInClient {
    private val client = OkHttpClient()
    private val json = Json { classDiscriminator = "type" }

    fun isReady(admin: String): Boolean = try {
        client.newCall(Request.Builder().url("$admin/readyz").build()).execute().use { it.isSuccessful }
    } catch (e: IOException) {
        false
    }

    /** The events that a stand-in server has journalled. */
    fun journal(control: String): List<JournalEvent> {
        val request = Request.Builder().url("$control/control/journal").build()
        val text = client.newCall(request).execute().use { it.body.string() }
        return json.decodeFromString(ListSerializer(JournalEvent.serializer()), text)
    }

    /** Lists a backend server as leaving within [notice]. */
    fun announceReclaim(
        platform: String,
        name: String,
        domain: String,
        address: String,
        entry: String,
        notice: Duration,
    ) {
        val instance = ComputeInstance(
            name = name,
            zone = domain,
            status = "STOPPING",
            scheduling = ComputeInstance.Scheduling(ComputeInstance.SPOT, (Clock.System.now() + notice).toString()),
            metadata = ComputeInstance.metadataOf(
                ComputeInstance.Keys.ROLE to ComputeInstance.Keys.BACKEND,
                ComputeInstance.Keys.CATALOGUE_ENTRY to entry,
                ComputeInstance.Keys.ADDRESS to address,
            ),
        )
        val body = Json.encodeToString(ComputeInstance.serializer(), instance)
        send("PUT", "$platform/control/instances", body)
    }

    /** Ends the process behind a stand-in server's port, as a reclaim does. */
    fun kill(control: String) = send("POST", "$control/control/kill", "")

    private fun send(method: String, url: String, body: String) {
        val request = Request.Builder().url(url).method(method, body.toRequestBody("application/json".toMediaType()))
        client.newCall(request.build()).execute().use { check(it.isSuccessful) { "$method $url: ${it.code}" } }
    }
}
