package org.berylpoint.entry.http

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import io.javalin.Javalin
import io.javalin.compression.CompressionStrategy
import io.javalin.http.Context
import io.javalin.http.HandlerType
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ChannelResult
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext
import org.berylpoint.entry.catalogue.CatalogueSource
import org.berylpoint.entry.pipeline.Pipeline
import org.berylpoint.model.InstanceId
import org.berylpoint.model.Problem
import org.berylpoint.model.RequestId
import org.berylpoint.model.ResponseEvent
import org.berylpoint.model.ServeRequest
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.TimeSource

private val logger = KotlinLogging.logger {}

/**
 * The HTTP server for callers: `POST /v1/chat/completions` and any method below `/services/<class>/`.
 *
 * A request occupies a server thread only while its body is read. A coroutine writes the response and uses a bounded
 * thread pool for the blocking writes. A failed write means that the caller has disconnected, and cancels the
 * collection of the response. A stream that fails after its head ends with an event named `error` whose data is the
 * problem, and without `[DONE]`.
 */
public class CallerServer(
    private val self: InstanceId,
    private val scope: CoroutineScope,
    time: TimeSource.WithComparableMarks,
    catalogue: CatalogueSource,
    private val pipeline: Pipeline,
    private val limits: HttpLimits = HttpLimits(),
) : AutoCloseable {
    private val decoder = RequestDecoder(limits, time) { catalogue.current.value }
    private val writeDispatcher: CoroutineDispatcher = Dispatchers.IO.limitedParallelism(limits.writerThreads)
    private val nextId = AtomicLong()
    private val responseJob = SupervisorJob(scope.coroutineContext.job)
    private val responseScope = scope + responseJob

    private val javalin = Javalin.create { config ->
        config.startup.showJavalinBanner = false
        config.http.asyncTimeout = 0
        config.http.compressionStrategy = CompressionStrategy.NONE
        config.jetty.modifyHttpConfiguration {
            it.requestHeaderSize = limits.maxHeaderBytes
            it.sendServerVersion = false
        }
        config.routes.addHttpHandler(HandlerType.POST, RequestDecoder.CHAT_PATH) { handle(it, decoder::decodeChat) }
        for (method in METHODS) {
            config.routes.addHttpHandler(method, RequestDecoder.SERVICES_PREFIX + "<rest>") {
                handle(it, decoder::decodeService)
            }
        }
    }

    /** The bound port, which the system selects after a start on port 0. */
    public val port: Int get() = javalin.port()

    /** Starts to accept connections on the IP address [host]; port 0 selects a free port. */
    public fun start(host: String, port: Int) {
        javalin.start(host, port)
        logger.info { "http: caller server listens on $host:${javalin.port()}" }
    }

    /** Ends the running responses, then closes all connections. The pipeline must already be drained. */
    override fun close() {
        // No response may be written while Jetty closes its connection.
        runBlocking { responseJob.cancelAndJoin() }
        javalin.stop()
    }

    private fun handle(context: Context, decode: (RequestId, RawRequest) -> Either<Problem, ServeRequest>) {
        val id = RequestId("$self-${nextId.incrementAndGet()}")
        context.header("Berylpoint-Request-Id", id.value)
        val body = readBody(context)
        if (body == null) {
            refuse(context, id, tooLarge(limits))
            return
        }
        val target = context.req().requestURI + context.queryString()?.let { "?$it" }.orEmpty()
        val raw = RawRequest(context.method().name, target, context::header, body)
        decode(id, raw).fold(
            { refuse(context, id, it) },
            { request -> context.future { respond(context, request) } },
        )
    }

    /** Reads the body; null if it exceeds [HttpLimits.maxBodyBytes]. */
    private fun readBody(context: Context): ByteArray? {
        if (context.req().contentLengthLong > limits.maxBodyBytes) return null
        return context.bodyInputStream().readNBytes(limits.maxBodyBytes + 1).takeIf { it.size <= limits.maxBodyBytes }
    }

    private fun refuse(context: Context, id: RequestId, problem: Problem) {
        context.status(problem.kind.status).contentType(PROBLEM_JSON).result(problem.toJson(id))
    }

    /** Starts to write the response. The future never fails, because Javalin would only log the error. */
    private fun respond(context: Context, request: ServeRequest): CompletableFuture<Unit> {
        val writer = CallerResponseWriter(context, request)
        val done = CompletableFuture<Unit>()
        responseScope.launch { write(writer, request) }.invokeOnCompletion { cause ->
            if (cause != null) writeShutdown(writer, request)
            done.complete(Unit)
        }
        return done
    }

    // Ends the response instead of aborting the connection: Jetty's abort recycles the response while Javalin still
    // uses it, and Javalin then logs errors without end.
    private fun writeShutdown(writer: CallerResponseWriter, request: ServeRequest) {
        try {
            writer.writeShutdown()
            writer.flush()
        } catch (e: IOException) {
            logger.debug { "http: caller of ${request.id} disconnected: ${e.message}" }
        } catch (e: IllegalStateException) {
            logger.debug { "http: connection of ${request.id} closed by the server: ${e.message}" }
        }
    }

    private suspend fun write(writer: CallerResponseWriter, request: ServeRequest) {
        try {
            if (request.stream) writeStream(writer, pipeline.serve(request)) else writeBuffered(writer, request)
        } catch (e: IOException) {
            logger.debug { "http: caller of ${request.id} disconnected: ${e.message}" }
        } catch (e: IllegalStateException) {
            // Jetty completes the request of a failed connection on another thread, at any time.
            logger.debug { "http: connection of ${request.id} closed by the server: ${e.message}" }
        }
    }

    private suspend fun writeBuffered(writer: CallerResponseWriter, request: ServeRequest) {
        val parts = ArrayList<ResponseEvent>()
        pipeline.serve(request).collect(parts::add)
        // A truncated body is not sent, because the caller could not detect that it is incomplete.
        val failure = parts.lastOrNull() as? ResponseEvent.Failed
        withContext(writeDispatcher) {
            (failure?.let(::listOf) ?: parts).forEach(writer::write)
            writer.flush()
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun writeStream(writer: CallerResponseWriter, events: Flow<ResponseEvent>) = coroutineScope {
        val channel = events.buffer(Channel.BUFFERED).produceIn(this)
        var isOpen = true
        while (isOpen) {
            // Unlike withTimeout around receive, select never loses an event that arrives just as the timeout expires.
            val first = select<ChannelResult<ResponseEvent>?> {
                channel.onReceiveCatching { it }
                onTimeout(limits.keepAliveInterval) { null }
            }
            isOpen = first == null || first.isSuccess
            withContext(writeDispatcher) {
                if (first == null) writer.writeKeepAlive()
                var next = first?.getOrNull()
                // Flushes all available events at once, which saves system calls on a fast stream.
                while (next != null) {
                    writer.write(next)
                    next = channel.tryReceive().getOrNull()
                }
                writer.flush()
            }
        }
    }

    private companion object {
        val METHODS = listOf(HandlerType.GET, HandlerType.POST, HandlerType.PUT, HandlerType.PATCH, HandlerType.DELETE)
    }
}
