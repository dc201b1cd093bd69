package org.berylpoint.testkit.load

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import okhttp3.Dispatcher
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.berylpoint.testkit.standin.CallerEvent
import org.berylpoint.testkit.standin.FakePlainService
import org.berylpoint.testkit.standin.FakeText
import org.berylpoint.testkit.standin.Journal
import java.io.IOException
import java.util.concurrent.TimeUnit

/** Sends one call at a time over HTTP and journals what comes back. */
internal class HttpCaller(private val journal: Journal, private val deadlineMillis: Long) {
    private val client = OkHttpClient.Builder()
        .dispatcher(Dispatcher().apply { maxRequestsPerHost = 1_000 })
        .retryOnConnectionFailure(false)
        .readTimeout(deadlineMillis + GRACE_MILLIS, TimeUnit.MILLISECONDS)
        .build()

    /** Sends a streamed chat. */
    fun chat(entry: String, call: String, workspace: String, body: String, requestClass: String) {
        val send = "$call-0"
        journal.add(sent(call, send, requestClass, idempotent = true, expected = FakeText.expected(body)))
        val request = request(entry, "/v1/chat/completions", workspace, body).build()
        exchange(request, call, send) { response ->
            val source = response.body.source()
            var isDone = false
            while (!isDone) {
                val line = source.readUtf8Line() ?: break
                isDone = chatLine(line, call, send)
            }
            if (!isDone) journal.add(CallerEvent.Disconnected(journal.now(), call, send))
        }
    }

    /** Sends a booking with its key; true when the caller needs not send it again. */
    fun booking(
        entry: String,
        call: String,
        number: Int,
        workspace: String,
        path: String,
        body: String,
        requestClass: String,
    ): Boolean {
        val send = "$call-$number"
        val expected = FakePlainService.expected("POST", path.removePrefix("/services/$requestClass"), body)
        journal.add(sent(call, send, requestClass, idempotent = false, expected = expected))
        val request = request(entry, path, workspace, body).header("Idempotency-Key", call).build()
        var isComplete = false
        exchange(request, call, send) { response ->
            journal.add(CallerEvent.Chunk(journal.now(), call, send, response.body.string()))
            journal.add(CallerEvent.Complete(journal.now(), call, send))
            isComplete = true
        }
        return isComplete
    }

    private fun sent(call: String, send: String, requestClass: String, idempotent: Boolean, expected: String) =
        CallerEvent.Sent(journal.now(), call, send, requestClass, idempotent, deadlineMillis, expected)

    private fun request(entry: String, path: String, workspace: String, body: String) = Request.Builder()
        .url(entry + path)
        .post(body.toRequestBody(JSON))
        .header("Berylpoint-Workspace", workspace)
        .header("Berylpoint-Deadline-Ms", deadlineMillis.toString())

    private fun exchange(request: Request, call: String, send: String, read: (Response) -> Unit) {
        try {
            client.newCall(request).execute().use { response ->
                journal.add(CallerEvent.Head(journal.now(), call, send, response.code))
                if (response.isSuccessful) read(response) else problem(response.body.string(), call, send)
            }
        } catch (e: IOException) {
            journal.add(CallerEvent.Disconnected(journal.now(), call, send))
        }
    }

    /** Journals one line of a stream; true at its end. */
    private fun chatLine(line: String, call: String, send: String): Boolean {
        if (!line.startsWith(DATA)) return false
        val data = line.removePrefix(DATA)
        if (data == "[DONE]") {
            journal.add(CallerEvent.Complete(journal.now(), call, send))
            return true
        }
        val json = Json.parseToJsonElement(data).jsonObject
        if ("kind" in json) {
            problem(data, call, send)
            return true
        }
        val text = chunkText(data)
        if (text != null) journal.add(CallerEvent.Chunk(journal.now(), call, send, text))
        return false
    }

    private fun problem(text: String, call: String, send: String) {
        val json = runCatching { Json.parseToJsonElement(text).jsonObject }.getOrNull()
        val kind = json?.get("kind")?.jsonPrimitive?.contentOrNull ?: "none"
        val ran = json?.get("ran")?.jsonPrimitive?.contentOrNull ?: "unknown"
        journal.add(CallerEvent.Problem(journal.now(), call, send, kind, ran))
    }

    private companion object {
        val JSON = "application/json".toMediaType()
        const val DATA = "data: "

        /** An entry instance answers at the deadline at the latest; this covers the way back. */
        const val GRACE_MILLIS = 3_000L
    }
}
