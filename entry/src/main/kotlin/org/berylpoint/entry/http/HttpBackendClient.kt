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
import okhttp3.Interceptor
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
import org.berylpoint.platform.http.StrictResponses
import org.berylpoint.platform.http.readUtf8LineUpTo
import org.berylpoint.platform.http.readUtf8UpTo
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
 * HTTP/1.1 client of backend servers: the OpenAI chat completions protocol for model engines, plain HTTP for services.
 *
 * KV cache transfer uses `POST /kv/export` with `{"request": id}`, whose response is `{"handle": text}`, and
 * `POST /kv/import` with `{"handle": text}`; an engine without KV transfer responds with a status other than 200.
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
        // The stream filter handles idle streams: it probes the server before it abandons a connection.
        .readTimeout(0, TimeUnit.SECONDS)
        .dispatcher(
            Dispatcher().apply {
                maxRequests = maxCalls
                maxRequestsPerHost = maxCalls
            },
        )
        .addNetworkInterceptor(StrictResponses)
        .addNetworkInterceptor(LastCheck)
        .eventListenerFactory { call -> SendTrackingListener(call.request().tag(SendTracker::class.java)) }
        .build()

    // If the server has just closed a pooled connection, the outcome of a call on it is unknown. A new connection
    // either opens, or no byte was sent. Probes use one to test whether the server accepts connections.
    private val unpooled = pooled.newBuilder().connectionPool(ConnectionPool(0, 1, TimeUnit.SECONDS)).build()

    override fun send(server: BackendServer, call: BackendCall): Flow<BackendEvent> = callbackFlow {
        val tracker = SendTracker(call.isStillAccepted)
        val client = if (call.idempotencyKey != null) unpooled else pooled
        val httpCall = client.newCall(requestFor(server, call, tracker))
        httpCall.enqueue(ResponseReader(this, tracker, call.stream))
        awaitClose { httpCall.cancel() }
    }

    override suspend fun probe(server: BackendServer, timeout: Duration): Either<ProbeFailure, Boolean> {
        val request = Request.Builder().url(server.address + "/health").build()
        val client = unpooled.newBuilder().callTimeout(timeout.toJavaDuration()).build()
        return client.newCall(request).await { response ->
            when (response.code) {
                STATUS_OK -> true.right()
                STATUS_UNAVAILABLE -> false.right()
                else -> ProbeFailure.Unhealthy("status ${response.code}").left()
            }
        }.fold({ probeFailureOf(it).left() }, { it })
    }

    override suspend fun exportKv(server: BackendServer, request: RequestId): String? =
        postKv(server, "/kv/export", buildJsonObject { put("request", request.value) }) { body ->
            val handle = (Json.parseToJsonElement(body) as? JsonObject)?.get("handle") as? JsonPrimitive
            handle?.takeIf { it.isString }?.content
        }

    override suspend fun importKv(server: BackendServer, handle: String): Boolean =
        postKv(server, "/kv/import", buildJsonObject { put("handle", handle) }) { true } ?: false

    /** Closes idle connections; running calls continue to their end. */
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
            if (it.code != STATUS_OK) return@await null
            runCatching { read(it.body.source().readUtf8UpTo(MAX_BODY_BYTES)) }.getOrNull()
        }.getOrNull()
    }

    private fun requestFor(server: BackendServer, call: BackendCall, tracker: SendTracker): Request {
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
            .tag(SendTracker::class.java, tracker)
            .build()
    }

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
        const val JSON = "application/json"
        val METHODS_WITHOUT_BODY = setOf("GET", "HEAD")

        /** Each running call occupies a thread; the limit keeps the stacks within the memory of a small instance. */
        const val DEFAULT_MAX_CALLS = 2_048

        val CONNECT_TIMEOUT = 1.seconds
        val WRITE_TIMEOUT = 10.seconds
        val KV_TIMEOUT = 5.seconds
    }
}

private const val EVENT_STREAM = "text/event-stream"

/** Limits on a response that is read whole, and on one line of a stream; a faulty server may send without end. */
private const val MAX_BODY_BYTES = 8_388_608L
private const val MAX_LINE_BYTES = 1_048_576L

/** Records whether any byte of a request may have been sent to the server. */
private class SendTracker(val isStillAccepted: () -> Boolean) {
    @Volatile
    var sent: Boolean = false
}

/** Fails a call right before its first byte, with its connection open, if the server began to leave in the meantime. */
private object LastCheck : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val tracker = chain.request().tag(SendTracker::class.java)
        if (tracker?.isStillAccepted() == false) throw IOException("the server takes no requests any more")
        return chain.proceed(chain.request())
    }
}

private class SendTrackingListener(private val tracker: SendTracker?) : EventListener() {
    override fun requestHeadersStart(call: Call) {
        tracker?.sent = true
    }
}

/** Converts the response to one call into events, on the call's thread. */
private class ResponseReader(
    private val events: ProducerScope<BackendEvent>,
    private val tracker: SendTracker,
    private val stream: Boolean,
) : Callback {
    override fun onFailure(call: Call, e: IOException) = sendLast(BackendEvent.Broken(tracker.sent, describe(e)))

    override fun onResponse(call: Call, response: Response) {
        val last = try {
            response.use(::read)
            BackendEvent.End
        } catch (e: IOException) {
            BackendEvent.Broken(sent = true, describe(e))
        }
        sendLast(last)
    }

    private fun sendLast(event: BackendEvent) {
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
            parser.parseLine(source.readUtf8LineUpTo(MAX_LINE_BYTES) ?: break)?.let(::emit)
        }
    }

    private fun readBody(source: BufferedSource) {
        source.readUtf8UpTo(MAX_BODY_BYTES).takeIf { it.isNotEmpty() }?.let { emit(BackendEvent.Data(it)) }
    }

    private fun emit(event: BackendEvent) {
        // The collector was cancelled and with it the call, so the rest of the response isn't needed.
        if (events.trySendBlocking(event).isFailure) throw IOException("the collector of the response was cancelled")
    }
}

private suspend fun <T> Call.await(read: (Response) -> T): Either<IOException, T> =
    suspendCancellableCoroutine { continuation ->
        continuation.invokeOnCancellation { cancel() }
        enqueue(
            object : Callback {
                override fun onFailure(call: Call, e: IOException) = continuation.resume(e.left())

                override fun onResponse(call: Call, response: Response) =
                    continuation.resume(Either.catchOrThrow<IOException, T> { response.use(read) })
            },
        )
    }

private fun probeFailureOf(e: IOException): ProbeFailure = when {
    // The JDK throws ConnectException for a refused connection, SocketTimeoutException for a connect timeout.
    e is ConnectException -> ProbeFailure.Refused

    e is SocketTimeoutException || e.message == "timeout" || e.message == "Canceled" -> ProbeFailure.TimedOut

    else -> ProbeFailure.Unhealthy(describe(e))
}

private fun describe(e: IOException): String = "${e::class.simpleName}: ${e.message}"
