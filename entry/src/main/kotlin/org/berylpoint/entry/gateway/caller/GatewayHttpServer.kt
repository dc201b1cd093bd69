package org.berylpoint.entry.gateway.caller

import io.github.oshai.kotlinlogging.KotlinLogging
import io.javalin.Javalin
import io.javalin.compression.CompressionStrategy
import io.javalin.http.Context
import io.javalin.http.HandlerType
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.runBlocking
import org.eclipse.jetty.http.UriCompliance
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.nio.channels.ServerSocketChannel
import java.util.concurrent.atomic.AtomicInteger

private val logger = KotlinLogging.logger {}

/** Callbacks of [GatewayHttpServer] into the gateway process. */
public class GatewayHttpHandlers(
    public val serve: suspend (CallerExchange) -> Unit,
    public val isReady: () -> Boolean,
    /** Whether to close each connection after its next response. */
    public val closesConnections: () -> Boolean,
    /** State of the process as JSON, for `/dump`. */
    public val dump: () -> String,
    /** Size limit of a request body. */
    public val maxBodyBytes: () -> Int,
)

/**
 * The HTTP server of an entry instance: one address for callers, one for the readiness check, and one for metrics and
 * the state dump.
 *
 * Each request in progress occupies a thread, which writes the response, so the number of threads limits the requests.
 */
public class GatewayHttpServer(
    private val channels: ListeningChannels,
    private val registry: PrometheusRegistry,
    private val handlers: GatewayHttpHandlers,
) : AutoCloseable {
    private val connectors = mutableListOf<ServerConnector>()
    private val activeCount = AtomicInteger()

    /** Callers' requests whose head was read and whose response is not complete. */
    public val activeRequests: Int get() = activeCount.get()
    private val javalin = Javalin.create { config ->
        config.startup.showJavalinBanner = false
        config.http.compressionStrategy = CompressionStrategy.NONE
        config.jetty.threadPool = QueuedThreadPool(MAX_THREADS, MIN_THREADS)
        config.jetty.modifyServer { server ->
            server.stopTimeout = 0
            connectors += channels.all.map { connector(server, it) }
            server.connectors = connectors.toTypedArray()
        }
        for (method in METHODS) config.routes.addHttpHandler(method, "/", ::handle)
        for (method in METHODS) config.routes.addHttpHandler(method, "/<path>", ::handle)
    }

    /** Starts to accept connections on all addresses. */
    public fun start() {
        javalin.start()
    }

    /** Takes no new connections from callers any more; the open ones are served on. */
    public fun stopAccepting() {
        connectors.firstOrNull()?.close()
    }

    /** Sets the idle timeout of callers' connections, to which a margin is added. */
    public fun setIdleTimeout(millis: Long) {
        // The timeout also runs while a request is in progress, when nothing is sent until the response is ready.
        connectors.firstOrNull()?.idleTimeout = millis + IDLE_MARGIN_MILLIS
    }

    override fun close() {
        javalin.stop()
    }

    private fun connector(server: Server, channel: ServerSocketChannel): ServerConnector {
        val http = HttpConfiguration()
        http.sendServerVersion = false
        http.sendDateHeader = false
        http.uriCompliance = UriCompliance.UNSAFE
        http.requestHeaderSize = MAX_HEADER_BYTES
        val connector = ServerConnector(server, 1, 1, HttpConnectionFactory(http))
        connector.idleTimeout = INITIAL_IDLE_MILLIS
        connector.open(channel)
        return connector
    }

    private fun handle(context: Context) {
        when (context.req().localPort) {
            channels.callers.socket().localPort -> {
                activeCount.incrementAndGet()
                try {
                    serve(context)
                } finally {
                    activeCount.decrementAndGet()
                }
            }
            channels.readiness.socket().localPort -> context.status(if (handlers.isReady()) OK else UNAVAILABLE)
            else -> admin(context)
        }
    }

    private fun serve(context: Context) {
        val limit = handlers.maxBodyBytes()
        val body = readBody(context, limit) ?: return
        if (body.size > limit) {
            context.status(TOO_LARGE)
            return
        }
        val request = requestOf(context, body)
        val exchange = ServletExchange(request, context.req(), context.res(), handlers.closesConnections)
        try {
            runBlocking { handlers.serve(exchange) }
            exchange.closeUnlessComplete()
        } catch (e: IOException) {
            logger.debug { "http: a caller's connection failed during a request: ${e.message}" }
            exchange.closeUnlessComplete()
        } finally {
            // After any other failure the server still sends an error response, or else completes the one under way.
            if (context.res().isCommitted) exchange.closeUnlessComplete()
        }
    }

    /** The body, or its first bytes beyond [limit]; null if it can't be read, and the request is answered already. */
    private fun readBody(context: Context, limit: Int): ByteArray? = try {
        context.req().inputStream.readNBytes(limit + 1)
    } catch (e: IOException) {
        logger.debug { "http: could not read a request body: ${e.message}" }
        // What follows on the connection can't be told apart from the rest of the body.
        context.header("Connection", "close")
        context.status(MALFORMED)
        null
    }

    private fun requestOf(context: Context, body: ByteArray): CallerRequest {
        val request = context.req()
        val headers = ArrayList<Pair<String, String>>()
        for (name in request.headerNames) for (value in request.getHeaders(name)) headers += name to value
        return CallerRequest(
            method = request.method,
            target = request.requestURI + request.queryString?.let { "?$it" }.orEmpty(),
            host = request.getHeader("Host").orEmpty().substringBefore(':').lowercase(),
            headers = headers,
            body = body,
            ageMillis = request.ageMillis(),
        )
    }

    private fun admin(context: Context) {
        when (context.path()) {
            "/metrics" -> {
                val out = ByteArrayOutputStream()
                PrometheusTextFormatWriter.create().write(out, registry.scrape())
                context.contentType("text/plain; version=0.0.4").result(out.toByteArray())
            }
            "/dump" -> context.contentType("application/json").result(handlers.dump())
            else -> context.status(NOT_FOUND)
        }
    }

    private companion object {
        const val MAX_THREADS = 500
        const val MIN_THREADS = 8
        const val MAX_HEADER_BYTES = 32_768
        const val INITIAL_IDLE_MILLIS = 60_000L
        const val IDLE_MARGIN_MILLIS = 15_000L
        const val OK = 200
        const val MALFORMED = 400
        const val NOT_FOUND = 404
        const val TOO_LARGE = 413
        const val UNAVAILABLE = 503
        val METHODS = listOf(
            HandlerType.GET,
            HandlerType.POST,
            HandlerType.PUT,
            HandlerType.PATCH,
            HandlerType.DELETE,
            HandlerType.HEAD,
            HandlerType.OPTIONS,
        )
    }
}
