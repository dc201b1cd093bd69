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
 * Speaks HTTP/1.1 to backend servers with OkHttp, without its retries, redirects and added headers.
 *
 * Servers are called in clear text; without TLS the client does not load a trust store at each start.
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
        .connectionPool(ConnectionPool(MAX_IDLE, IDLE.inWholeMilliseconds, TimeUnit.MILLISECONDS))
        .dispatcher(
            Dispatcher().apply {
                maxRequests = MAX_CALLS
                maxRequestsPerHost = MAX_CALLS
            },
        )
        .addNetworkInterceptor(ExactMessages)
        .eventListenerFactory { call -> call.request().tag(SentMark::class.java) ?: EventListener.NONE }
        .build()
    private val unpooled = pooled.newBuilder().connectionPool(ConnectionPool(0, 1, TimeUnit.SECONDS)).build()

    override fun send(id: BackendServerId, address: String, request: ServerRequest): ServerExchange {
        val mark = SentMark()
        val client = if (request.needsNewConnection) unpooled else pooled
        val call = client.newCall(requestOf(address, request, mark))
        return HttpServerExchange(call, mark, request).also { call.enqueue(it) }
    }

    override fun close() {
        pooled.dispatcher.executorService.shutdown()
        pooled.connectionPool.evictAll()
    }

    private fun requestOf(address: String, request: ServerRequest, mark: SentMark): Request {
        val builder = Request.Builder().url("http://$address${request.target}".toHttpUrl())
        for ((name, value) in request.headers) builder.addHeader(name, value)
        // Keeps OkHttp from asking for gzip; the header itself is taken out again before the request is sent.
        if (request.headers.none { it.first.equals(ACCEPT_ENCODING, true) }) builder.header(ACCEPT_ENCODING, UNASKED)
        val hasNoBody = request.method == "GET" || request.method == "HEAD"
        return builder
            .method(request.method, if (hasNoBody) null else request.body.toRequestBody())
            .tag(SentMark::class.java, mark)
            .build()
    }

    public companion object {
        /** Whether OkHttp sends [target] as it is; it normalises some paths. */
        public fun sendsUnchanged(target: String): Boolean = runCatching {
            val url = "http://127.0.0.1$target".toHttpUrl()
            url.encodedPath + url.encodedQuery?.let { "?$it" }.orEmpty() == target
        }.getOrDefault(false)

        internal const val ACCEPT_ENCODING = "Accept-Encoding"
        internal const val UNASKED = "identity;q=0"
        private val CONNECT_TIMEOUT = 200.milliseconds
        private val WRITE_TIMEOUT = 5.seconds

        /** Shorter than the time after which servers close idle connections. */
        private val IDLE = 3.seconds
        private const val MAX_IDLE = 128
        private const val MAX_CALLS = 2_000
    }
}

/** Takes OkHttp's own headers out of the request, and keeps it from acting on `Retry-After`. */
private object ExactMessages : Interceptor {
    const val HIDDEN_RETRY_AFTER = "Hidden-Retry-After"

    override fun intercept(chain: Interceptor.Chain): Response {
        val request = chain.request()
        val exact = request.newBuilder()
        if (request.header(HttpServerClient.ACCEPT_ENCODING) == HttpServerClient.UNASKED) {
            exact.removeHeader(HttpServerClient.ACCEPT_ENCODING)
        }
        if (request.header("User-Agent")?.startsWith("okhttp/") == true) exact.removeHeader("User-Agent")
        if (chain.connection()?.socket()?.getInputStream()?.available() ?: 0 > 0) {
            // Bytes that no request asked for would be read as the answer to this one.
            chain.connection()?.socket()?.close()
            chain.call().request().tag(SentMark::class.java)?.isSent = false
            throw IOException("the pooled connection holds bytes of an earlier answer")
        }
        chain.call().request().tag(SentMark::class.java)?.isSent = true
        val response = chain.proceed(exact.build())
        val retryAfter = response.header(RequestHeaders.RETRY_AFTER) ?: return response
        return response.newBuilder()
            .removeHeader(RequestHeaders.RETRY_AFTER)
            .header(HIDDEN_RETRY_AFTER, retryAfter)
            .build()
    }
}

private class SentMark : EventListener() {
    @Volatile
    var isSent: Boolean = false
}

/** Reads the answer on a thread of OkHttp and hands its events over in order. */
private class HttpServerExchange(
    private val call: Call,
    private val mark: SentMark,
    private val request: ServerRequest,
) : ServerExchange,
    Callback {
    private val events = Channel<ServerEvent>(BUFFERED_EVENTS)

    // Unlike withTimeout around receive, select never loses an event that arrives as the time runs out.
    @OptIn(ExperimentalCoroutinesApi::class)
    override suspend fun next(wait: Duration): ServerEvent? = select {
        events.onReceiveCatching { it.getOrNull() ?: ServerEvent.Failed(true, "no more events") }
        onTimeout(wait) { null }
    }

    override fun cancel() {
        events.cancel()
        call.cancel()
    }

    override fun onFailure(call: Call, e: IOException) {
        finish(ServerEvent.Failed(mark.isSent, "${e::class.simpleName}: ${e.message}"))
    }

    override fun onResponse(call: Call, response: Response) {
        val last = try {
            response.use(::read)
        } catch (e: IOException) {
            ServerEvent.Failed(true, "${e::class.simpleName}: ${e.message}")
        }
        finish(last)
    }

    private fun read(response: Response): ServerEvent {
        val echoed = response.header(RequestHeaders.REQUEST_ID)
        if (echoed != null && echoed != request.id) {
            call.cancel()
            return ServerEvent.Failed(true, "the answer belongs to request $echoed")
        }
        emit(headOf(response))
        val source = response.body.source()
        if (request.isStream &&
            response.code == OK
        ) {
            readEvents(source)
        } else {
            emit(ServerEvent.Data(source.readByteArray(), null))
        }
        return ServerEvent.End
    }

    private fun headOf(response: Response): ServerEvent.Head {
        val headers = response.headers.mapNotNull { (name, value) ->
            when {
                name == ExactMessages.HIDDEN_RETRY_AFTER -> RequestHeaders.RETRY_AFTER to value
                name.lowercase() in CONNECTION_HEADERS -> null
                else -> name to value
            }
        }
        val isNotRun = response.header(RequestHeaders.NOT_RUN) != null || response.code == MISDIRECTED
        return ServerEvent.Head(response.code, headers, isNotRun)
    }

    /** Events end with an empty line; what follows the last one is no whole event and is handed over as it is. */
    private fun readEvents(source: BufferedSource) {
        val event = Buffer()
        var id: Long? = null
        var end = source.indexOf(NEWLINE)
        while (end >= 0) {
            if (source.buffer[0] == ID_START) id = idOf(source.peek().readUtf8(end)) ?: id
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
        if (events.trySendBlocking(event).isFailure) throw IOException("the request was given up")
    }

    private fun finish(event: ServerEvent) {
        events.trySendBlocking(event)
        events.close()
    }

    private companion object {
        const val BUFFERED_EVENTS = 64
        const val OK = 200
        const val MISDIRECTED = 421
        const val ID_PREFIX = "id:"
        const val NEWLINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_START = 'i'.code.toByte()
        val CONNECTION_HEADERS = setOf(
            "connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "proxy-connection",
            "proxy-authenticate", "content-length",
        )
    }
}
