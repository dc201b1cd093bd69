package org.berylpoint.entry.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.channels.ProducerScope
import kotlinx.coroutines.channels.awaitClose
import kotlinx.coroutines.channels.trySendBlocking
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.callbackFlow
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import okhttp3.Call
import okhttp3.Callback
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.EventListener
import okhttp3.MediaType.Companion.toMediaTypeOrNull
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import okio.BufferedSource
import org.berylpoint.entry.backend.BackendCall
import org.berylpoint.entry.backend.BackendClient
import org.berylpoint.entry.backend.BackendEvent
import org.berylpoint.entry.backend.ProbeFailure
import org.berylpoint.model.BackendServer
import org.berylpoint.model.RequestId
import java.io.IOException
import java.net.ConnectException
import java.net.Proxy
import java.net.SocketTimeoutException
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/**
 * Speaks HTTP/1.1 to backend servers: the OpenAI chat completions protocol to model engines, plain HTTP to services.
 *
 * KV cache transfer uses `POST /kv/export` with `{"request": id}`, answered with `{"handle": text}`, and
 * `POST /kv/import` with `{"handle": text}`; an engine without it answers with another status than 200.
 */
public class HttpBackendClient(maxCalls: Int = DEFAULT_MAX_CALLS) :
    BackendClient,
    AutoCloseable {
    private val pooled = OkHttpClient.Builder()
        .proxy(Proxy.NO_PROXY)
        .followRedirects(false)
        .retryOnConnectionFailure(false)
        .connectTimeout(CONNECT_TIMEOUT.toJavaDuration())
        .writeTimeout(WRITE_TIMEOUT.toJavaDuration())
        // A quiet stream is judged by the stream filter, which probes before it gives a connection up.
        .readTimeout(0, TimeUnit.SECONDS)
        .dispatcher(
            Dispatcher().apply {
                maxRequests = maxCalls
                maxRequestsPerHost = maxCalls
            },
        )
        .eventListenerFactory { call -> SentListener(call.request().tag(SentMark::class.java)) }
        .build()

    // A pooled connection that the server has just closed would leave the outcome of a call unknown. A new
    // connection either opens, or no byte was sent. Probes need one to test more than the old connection.
    private val fresh = pooled.newBuilder().connectionPool(ConnectionPool(0, 1, TimeUnit.SECONDS)).build()

    override fun send(server: BackendServer, call: BackendCall): Flow<BackendEvent> = callbackFlow {
        val mark = SentMark()
        val client = if (call.idempotencyKey != null) fresh else pooled
        val running = client.newCall(requestFor(server, call, mark))
        running.enqueue(AnswerReader(this, mark, call.stream))
        awaitClose { running.cancel() }
    }

    override suspend fun probe(server: BackendServer, timeout: Duration): Either<ProbeFailure, Boolean> {
        val request = Request.Builder().url(server.address + "/health").build()
        val probing = fresh.newBuilder().callTimeout(timeout.toJavaDuration()).build()
        return probing.newCall(request).await { response ->
            when (response.code) {
                OK -> true.right()
                UNAVAILABLE -> false.right()
                else -> ProbeFailure.Unhealthy("status ${response.code}").left()
            }
        }.fold({ probeFailureOf(it).left() }, { it })
    }

    override suspend fun exportKv(server: BackendServer, request: RequestId): String? =
        postKv(server, "/kv/export", buildJsonObject { put("request", request.value) }) { answer ->
            val handle = (Json.parseToJsonElement(answer) as? JsonObject)?.get("handle") as? JsonPrimitive
            handle?.takeIf { it.isString }?.content
        }

    override suspend fun importKv(server: BackendServer, handle: String): Boolean =
        postKv(server, "/kv/import", buildJsonObject { put("handle", handle) }) { true } ?: false

    /** Closes idle connections and lets running calls end. */
    override fun close() {
        pooled.dispatcher.executorService.shutdown()
        pooled.connectionPool.evictAll()
    }

    private suspend fun <T> postKv(server: BackendServer, path: String, body: JsonObject, read: (String) -> T?): T? {
        val request = Request.Builder()
            .url(server.address + path)
            .post(body.toString().toRequestBody(JSON.toMediaTypeOrNull()))
            .build()
        return pooled.newBuilder().callTimeout(KV_TIMEOUT.toJavaDuration()).build().newCall(request).await {
            if (it.code == OK) runCatching { read(it.body.string()) }.getOrNull() else null
        }.getOrNull()
    }

    private fun requestFor(server: BackendServer, call: BackendCall, mark: SentMark): Request {
        val body = call.body.toByteArray().toRequestBody(call.contentType.toMediaTypeOrNull())
        return Request.Builder()
            .url(server.address + call.path)
            .method(call.method, body.takeUnless { call.method in METHODS_WITHOUT_BODY })
            .header("Berylpoint-Request-Id", call.request.value)
            .header("Berylpoint-Attempt", call.attempt)
            .header(RequestDecoder.DEADLINE_HEADER, call.remaining.inWholeMilliseconds.coerceAtLeast(0).toString())
            .apply {
                call.idempotencyKey?.let { header(RequestDecoder.IDEMPOTENCY_KEY_HEADER, it) }
                if (call.stream) header("Accept", EVENT_STREAM)
            }
            .tag(SentMark::class.java, mark)
            .build()
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val JSON = "application/json"
        val METHODS_WITHOUT_BODY = setOf("GET", "HEAD")

        /** One thread reads each running call; the bound keeps their stacks within the memory of a small instance. */
        const val DEFAULT_MAX_CALLS = 2_048

        val CONNECT_TIMEOUT = 1.seconds
        val WRITE_TIMEOUT = 10.seconds
        val KV_TIMEOUT = 5.seconds
    }
}

private const val EVENT_STREAM = "text/event-stream"

/** Whether a byte of a request may have left for the server. */
private class SentMark {
    @Volatile
    var sent: Boolean = false
}

private class SentListener(private val mark: SentMark?) : EventListener() {
    override fun requestHeadersStart(call: Call) {
        mark?.sent = true
    }
}

/** Turns the answer to one call into events; runs on the call's thread. */
private class AnswerReader(
    private val events: ProducerScope<BackendEvent>,
    private val mark: SentMark,
    private val stream: Boolean,
) : Callback {
    override fun onFailure(call: Call, e: IOException) = end(BackendEvent.Broken(mark.sent, describe(e)))

    override fun onResponse(call: Call, response: Response) {
        val last = try {
            response.use(::read)
            BackendEvent.End
        } catch (e: IOException) {
            BackendEvent.Broken(sent = true, describe(e))
        }
        end(last)
    }

    private fun end(event: BackendEvent) {
        events.trySendBlocking(event)
        events.close()
    }

    private fun read(response: Response) {
        val contentType = response.header("Content-Type") ?: "application/octet-stream"
        emit(BackendEvent.Head(response.code, contentType))
        val source = response.body.source()
        if (stream && contentType.startsWith(EVENT_STREAM)) readEvents(source) else readBody(source)
    }

    private fun readEvents(source: BufferedSource) {
        val parser = EventStreamParser()
        while (true) {
            parser.parseLine(source.readUtf8Line() ?: break)?.let(::emit)
        }
    }

    private fun readBody(source: BufferedSource) {
        source.readUtf8().takeIf { it.isNotEmpty() }?.let { emit(BackendEvent.Data(it)) }
    }

    private fun emit(event: BackendEvent) {
        // The collector has gone: the call is cancelled by then, and reading on would only cost time.
        if (events.trySendBlocking(event).isFailure) throw IOException("cancelled")
    }
}

private suspend fun <T> Call.await(read: (Response) -> T): Either<IOException, T> =
    suspendCancellableCoroutine { waiting ->
        waiting.invokeOnCancellation { cancel() }
        enqueue(
            object : Callback {
                override fun onFailure(call: Call, e: IOException) = waiting.resume(e.left())

                override fun onResponse(call: Call, response: Response) =
                    waiting.resume(Either.catchOrThrow<IOException, T> { response.use(read) })
            },
        )
    }

private fun probeFailureOf(e: IOException): ProbeFailure = when {
    // The JDK gives a refused connection this class; a connect timeout is a SocketTimeoutException.
    e is ConnectException -> ProbeFailure.Refused

    e is SocketTimeoutException || e.message == "timeout" || e.message == "Canceled" -> ProbeFailure.TimedOut

    else -> ProbeFailure.Unhealthy(describe(e))
}

private fun describe(e: IOException): String = "${e::class.simpleName}: ${e.message}"
