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
 * A request holds a server thread only while its body is read. The answer is written by a coroutine, which uses a
 * bounded pool of threads for the writes that block. When a write fails, the caller has gone and the collection of
 * the answer is cancelled. A stream that fails after its head ends with an event named `error` whose data is the
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
    private val writers: CoroutineDispatcher = Dispatchers.IO.limitedParallelism(limits.writerThreads)
    private val nextId = AtomicLong()
    private val answering = SupervisorJob(scope.coroutineContext.job)
    private val answers = scope + answering

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

    /** The port in use; of interest after a start on port 0. */
    public val port: Int get() = javalin.port()

    /** Starts to accept connections on an IP number and port; port 0 takes a free one. */
    public fun start(host: String, port: Int) {
        javalin.start(host, port)
        logger.info { "http: callers are served on $host:${javalin.port()}" }
    }

    /** Stops accepting and closes all connections; the pipeline is drained before. */
    override fun close() {
        // Answers must not be written while Jetty takes their connections away.
        runBlocking { answering.cancelAndJoin() }
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
            { request -> context.future { answer(context, request) } },
        )
    }

    /** The body, or null when it is larger than allowed. */
    private fun readBody(context: Context): ByteArray? {
        if (context.req().contentLengthLong > limits.maxBodyBytes) return null
        return context.bodyInputStream().readNBytes(limits.maxBodyBytes + 1).takeIf { it.size <= limits.maxBodyBytes }
    }

    private fun refuse(context: Context, id: RequestId, problem: Problem) {
        context.status(problem.kind.status).contentType(PROBLEM_JSON).result(problem.toJson(id))
    }

    /** Writes the answer; the future always ends without an error, because Javalin could only log it. */
    private fun answer(context: Context, request: ServeRequest): CompletableFuture<Unit> {
        val answer = CallerResponseWriter(context, request)
        val done = CompletableFuture<Unit>()
        answers.launch { write(answer, request) }.invokeOnCompletion { cause ->
            if (cause != null) tell(answer, request)
            done.complete(Unit)
        }
        return done
    }

    // Jetty's way to abort a connection recycles the response under Javalin, which then logs errors without end.
    private fun tell(answer: CallerResponseWriter, request: ServeRequest) {
        try {
            answer.stop()
            answer.flush()
        } catch (e: IOException) {
            logger.debug { "http: the caller of ${request.id} has gone: ${e.message}" }
        } catch (e: IllegalStateException) {
            logger.debug { "http: the connection of ${request.id} has ended: ${e.message}" }
        }
    }

    private suspend fun write(answer: CallerResponseWriter, request: ServeRequest) {
        try {
            if (request.stream) writeStream(answer, pipeline.serve(request)) else writeWhole(answer, request)
        } catch (e: IOException) {
            logger.debug { "http: the caller of ${request.id} has gone: ${e.message}" }
        } catch (e: IllegalStateException) {
            // Jetty ends the request of a broken connection on its own thread, at any time.
            logger.debug { "http: the connection of ${request.id} has ended: ${e.message}" }
        }
    }

    private suspend fun writeWhole(answer: CallerResponseWriter, request: ServeRequest) {
        val parts = ArrayList<ResponseEvent>()
        pipeline.serve(request).collect(parts::add)
        // A body that broke off is not given in part, as nothing would tell the caller that it is not whole.
        val failure = parts.lastOrNull() as? ResponseEvent.Failed
        withContext(writers) {
            (failure?.let(::listOf) ?: parts).forEach(answer::write)
            answer.flush()
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun writeStream(answer: CallerResponseWriter, events: Flow<ResponseEvent>) = coroutineScope {
        val channel = events.buffer(Channel.BUFFERED).produceIn(this)
        var open = true
        while (open) {
            // Unlike withTimeout around receive, select never loses a part that arrives as the time runs out.
            val first = select<ChannelResult<ResponseEvent>?> {
                channel.onReceiveCatching { it }
                onTimeout(limits.keepAliveInterval) { null }
            }
            open = first == null || first.isSuccess
            withContext(writers) {
                if (first == null) answer.writeKeepAlive()
                var next = first?.getOrNull()
                // All that is ready goes out in one write, so that a fast stream costs fewer system calls.
                while (next != null) {
                    answer.write(next)
                    next = channel.tryReceive().getOrNull()
                }
                answer.flush()
            }
        }
    }

    private companion object {
        val METHODS = listOf(HandlerType.GET, HandlerType.POST, HandlerType.PUT, HandlerType.PATCH, HandlerType.DELETE)
    }
}
