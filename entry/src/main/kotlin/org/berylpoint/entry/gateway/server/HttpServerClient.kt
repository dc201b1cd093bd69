package org.berylpoint.entry.gateway.server

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.trySendBlocking
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import okhttp3.Call
import okhttp3.Callback
import okhttp3.ConnectionPool
import okhttp3.ConnectionSpec
import okhttp3.Dispatcher
import okhttp3.EventListener
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.Interceptor
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import okio.Buffer
import okio.BufferedSource
import org.berylpoint.model.BackendServerId
import org.berylpoint.platform.store.ResettingSocketFactory
import org.berylpoint.platform.wire.RequestHeaders
import java.io.IOException
import java.net.Proxy
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/**
 * Sends requests to backend servers over HTTP/1.1 with OkHttp, without the library's retries, redirects and default
 * headers.
 *
 * Connections are not encrypted; without TLS the client does not load a trust store at each start.
 */
public class HttpServerClient :
    ServerClient,
    AutoCloseable {
    private val pooled = OkHttpClient.Builder()
        .proxy(Proxy.NO_PROXY)
        .socketFactory(ResettingSocketFactory)
        .connectionSpecs(listOf(ConnectionSpec.CLEARTEXT))
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .connectTimeout(CONNECT_TIMEOUT.toJavaDuration())
        .writeTimeout(WRITE_TIMEOUT.toJavaDuration())
        .readTimeout(0, TimeUnit.SECONDS)
        .connectionPool(ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS))
        .dispatcher(
            Dispatcher().apply {
                maxRequests = MAX_CONCURRENT_CALLS
                maxRequestsPerHost = MAX_CONCURRENT_CALLS
            },
        )
        .addNetworkInterceptor(HeaderFilter)
        .eventListenerFactory { call -> call.request().tag(SentFlag::class.java) ?: EventListener.NONE }
        .build()
    private val unpooled = pooled.newBuilder().connectionPool(ConnectionPool(0, 1, TimeUnit.SECONDS)).build()

    override fun send(id: BackendServerId, address: String, request: ServerRequest): ServerExchange {
        val sentFlag = SentFlag()
        val client = if (request.needsNewConnection) unpooled else pooled
        val call = client.newCall(requestOf(address, request, sentFlag))
        return HttpServerExchange(call, sentFlag, request).also { call.enqueue(it) }
    }

    override fun close() {
        pooled.dispatcher.executorService.shutdown()
        pooled.connectionPool.evictAll()
    }

    private fun requestOf(address: String, request: ServerRequest, sentFlag: SentFlag): Request {
        val builder = Request.Builder().url("http://$address${request.target}".toHttpUrl())
        for ((name, value) in request.headers) builder.addHeader(name, value)
        // Keeps OkHttp from requesting gzip; HeaderFilter removes the placeholder before the request is sent.
        if (request.headers.none { it.first.equals(ACCEPT_ENCODING, true) }) {
            builder.header(ACCEPT_ENCODING, ACCEPT_ENCODING_PLACEHOLDER)
        }
        val hasNoBody = request.method == "GET" || request.method == "HEAD"
        return builder
            .method(request.method, if (hasNoBody) null else request.body.toRequestBody())
            .tag(SentFlag::class.java, sentFlag)
            .build()
    }

    public companion object {
        /** Whether OkHttp sends [target] unchanged; it normalises some paths. */
        public fun sendsUnchanged(target: String): Boolean = runCatching {
            val url = "http://127.0.0.1$target".toHttpUrl()
            url.encodedPath + url.encodedQuery?.let { "?$it" }.orEmpty() == target
        }.getOrDefault(false)

        internal const val ACCEPT_ENCODING = "Accept-Encoding"
        internal const val ACCEPT_ENCODING_PLACEHOLDER = "identity;q=0"
        private val CONNECT_TIMEOUT = 200.milliseconds
        private val WRITE_TIMEOUT = 5.seconds

        /** Shorter than the idle timeout of the servers, so that no request is sent on a connection that they close. */
        private val IDLE_TIMEOUT = 3.seconds
        private const val MAX_IDLE_CONNECTIONS = 128
        private const val MAX_CONCURRENT_CALLS = 2_000
    }
}

/**
 * Removes the headers that OkHttp adds to a request, and hides `Retry-After` from it, which would make it send the
 * request again.
 */
private object HeaderFilter : Interceptor {
    const val HIDDEN_RETRY_AFTER = "Hidden-Retry-After"

    override fun intercept(chain: Interceptor.Chain): Response {
        val request = chain.request()
        val filtered = request.newBuilder()
        if (request.header(HttpServerClient.ACCEPT_ENCODING) == HttpServerClient.ACCEPT_ENCODING_PLACEHOLDER) {
            filtered.removeHeader(HttpServerClient.ACCEPT_ENCODING)
        }
        if (request.header("User-Agent")?.startsWith("okhttp/") == true) filtered.removeHeader("User-Agent")
        if (chain.connection()?.socket()?.getInputStream()?.available() ?: 0 > 0) {
            // Left-over bytes on a pooled connection would be read as the response to this request.
            chain.connection()?.socket()?.close()
            chain.call().request().tag(SentFlag::class.java)?.isSent = false
            throw IOException("the pooled connection has unread bytes of an earlier response")
        }
        chain.call().request().tag(SentFlag::class.java)?.isSent = true
        val response = chain.proceed(filtered.build())
        val retryAfter = response.header(RequestHeaders.RETRY_AFTER) ?: return response
        return response.newBuilder()
            .removeHeader(RequestHeaders.RETRY_AFTER)
            .header(HIDDEN_RETRY_AFTER, retryAfter)
            .build()
    }
}

/** Whether a part of the request may have been sent. */
private class SentFlag : EventListener() {
    @Volatile
    var isSent: Boolean = false
}

/** Reads the response on an OkHttp thread and delivers its events in order. */
private class HttpServerExchange(
    private val call: Call,
    private val sentFlag: SentFlag,
    private val request: ServerRequest,
) : ServerExchange,
    Callback {
    private val events = Channel<ServerEvent>(MAX_BUFFERED_EVENTS)

    // Unlike withTimeout around receive, select never loses an event that arrives at the moment of the timeout.
    @OptIn(ExperimentalCoroutinesApi::class)
    override suspend fun next(timeout: Duration): ServerEvent? = select {
        events.onReceiveCatching { it.getOrNull() ?: ServerEvent.Failed(true, "the event channel is closed") }
        onTimeout(timeout) { null }
    }

    override fun cancel() {
        events.cancel()
        call.cancel()
    }

    override fun onFailure(call: Call, e: IOException) {
        finish(ServerEvent.Failed(sentFlag.isSent, "${e::class.simpleName}: ${e.message}"))
    }

    override fun onResponse(call: Call, response: Response) {
        val lastEvent = try {
            response.use(::read)
        } catch (e: IOException) {
            ServerEvent.Failed(true, "${e::class.simpleName}: ${e.message}")
        }
        finish(lastEvent)
    }

    private fun read(response: Response): ServerEvent {
        val echoedId = response.header(RequestHeaders.REQUEST_ID)
        if (echoedId != null && echoedId != request.id) {
            call.cancel()
            return ServerEvent.Failed(true, "the response carries the id of another request: $echoedId")
        }
        emit(headOf(response))
        val source = response.body.source()
        if (request.isStream && response.code == OK) {
            readEvents(source)
        } else {
            emit(ServerEvent.Data(source.readByteArray(), null))
        }
        return ServerEvent.End
    }

    private fun headOf(response: Response): ServerEvent.Head {
        val headers = response.headers.mapNotNull { (name, value) ->
            when {
                name == HeaderFilter.HIDDEN_RETRY_AFTER -> RequestHeaders.RETRY_AFTER to value
                name.lowercase() in CONNECTION_HEADERS -> null
                else -> name to value
            }
        }
        val isNotRun = response.header(RequestHeaders.NOT_RUN) != null || response.code == MISDIRECTED_REQUEST
        return ServerEvent.Head(response.code, headers, isNotRun)
    }

    /** Splits a stream into events, which end with an empty line. Emits what follows the last one as it is. */
    private fun readEvents(source: BufferedSource) {
        val event = Buffer()
        var id: Long? = null
        var end = source.indexOf(NEWLINE)
        while (end >= 0) {
            if (source.buffer[0] == ID_FIRST_BYTE) id = idOf(source.peek().readUtf8(end)) ?: id
            val isEmptyLine = end == 0L || (end == 1L && source.buffer[0] == CARRIAGE_RETURN)
            source.read(event, end + 1)
            if (isEmptyLine) {
                emit(ServerEvent.Data(event.readByteArray(), id))
                id = null
            }
            end = source.indexOf(NEWLINE)
        }
        source.readAll(event)
        if (event.size > 0) emit(ServerEvent.Data(event.readByteArray(), id))
    }

    private fun idOf(line: String): Long? =
        if (line.startsWith(ID_PREFIX)) line.removePrefix(ID_PREFIX).trim().toLongOrNull() else null

    private fun emit(event: ServerEvent) {
        if (events.trySendBlocking(event).isFailure) throw IOException("the request was cancelled")
    }

    private fun finish(event: ServerEvent) {
        events.trySendBlocking(event)
        events.close()
    }

    private companion object {
        const val MAX_BUFFERED_EVENTS = 64
        const val OK = 200
        const val MISDIRECTED_REQUEST = 421
        const val ID_PREFIX = "id:"
        const val NEWLINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIRST_BYTE = 'i'.code.toByte()
        val CONNECTION_HEADERS = setOf(
            "connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "proxy-connection",
            "proxy-authenticate", "content-length",
        )
    }
}
