package org.berylpoint.testkit.standin

import io.javalin.Javalin
import io.javalin.compression.CompressionStrategy
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import io.javalin.http.HandlerType
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.future.future
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.berylpoint.entry.backend.BackendCall
import org.berylpoint.entry.backend.BackendEvent
import org.berylpoint.entry.gateway.caller.connection
import org.berylpoint.model.RequestId
import org.eclipse.jetty.io.EndPoint
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/**
 * A stand-in backend server over HTTP.
 *
 * Faults are switched on a listener of its own, which stays up while the server is killed:
 *
 * - `POST /control/fault` with a [ServerFault] in JSON, `DELETE /control/fault` for all off;
 * - `POST /control/kill`, `restart`, `freeze`, `thaw`, `cold`, `silence`;
 * - `GET /control/journal?from=<n>` for the events from the n-th on.
 */
public abstract class BackendHttpServer<S : FakeServer>(
    private val host: String,
    private val requestedPort: Int,
    private val requestedControlPort: Int,
) : AutoCloseable {
    // One coroutine at a time, as the stand-ins expect.
    @OptIn(ExperimentalCoroutinesApi::class)
    protected val scope: CoroutineScope = CoroutineScope(SupervisorJob() + Dispatchers.Default.limitedParallelism(1))

    /** The journal; its times are in milliseconds since the epoch, so that journals of processes can be merged. */
    public val journal: Journal = Journal { System.currentTimeMillis() }

    /** Connections of the calls in progress. */
    private val connections: MutableSet<EndPoint> = ConcurrentHashMap.newKeySet()

    private var listener: Javalin? = null
    private var control: Javalin? = null

    /** The stand-in behind the HTTP listener; use it within [onServer] only. */
    protected abstract val core: S

    /** The port of the service. */
    public var port: Int = requestedPort
        private set

    /** The port of the `/control` paths. */
    public val controlPort: Int get() = control?.port() ?: requestedControlPort

    /** Starts both listeners; a port of 0 takes a free one. */
    public fun start() {
        core.onStop = { scope.launch(Dispatchers.IO) { stopListener() } }
        startListener()
        control = Javalin.create(::configureControl).start(host, requestedControlPort)
    }

    /** Runs [block] where it may use the stand-in. */
    public suspend fun <T> onServer(block: suspend (S) -> T): T = withContext(scope.coroutineContext) { block(core) }

    override fun close() {
        scope.cancel()
        listener?.stop()
        control?.stop()
    }

    /** Adds paths beside the service's own. */
    protected open fun configure(config: JavalinConfig) {}

    /** Answers a call of [block] in JSON. */
    protected fun Context.answer(block: suspend (S) -> Pair<Int, String>) {
        future {
            scope.future { block(core) }.thenAccept { (status, body) ->
                status(status).contentType(JSON).result(body)
            }
        }
    }

    @Synchronized
    private fun startListener() {
        if (listener != null) return
        val javalin = Javalin.create { config ->
            config.startup.showJavalinBanner = false
            config.http.asyncTimeout = 0
            config.http.compressionStrategy = CompressionStrategy.NONE
            config.http.maxRequestSize = MAX_BODY_BYTES
            // A killed process closes its connections at once.
            config.jetty.modifyServer { it.stopTimeout = 0 }
            config.routes.get("/health") { ctx ->
                ctx.answer { core -> core.health().let { 200 to """{"ok":true}""" } }
            }
            configure(config)
            for (method in SERVED) config.routes.addHttpHandler(method, "/<path>", ::serve)
        }
        listener = javalin.start(host, port)
        port = javalin.port()
    }

    @Synchronized
    private fun stopListener() {
        // Closed first, since a server that stops ends the answers in progress as if they were complete.
        connections.forEach { it.close() }
        listener?.stop()
        listener = null
    }

    private fun serve(ctx: Context) {
        val call = BackendCall(
            request = RequestId(ctx.header("Berylpoint-Request-Id").orEmpty()),
            attempt = ctx.header("Berylpoint-Attempt").orEmpty(),
            method = ctx.method().name,
            path = ctx.req().requestURI + ctx.queryString()?.let { "?$it" }.orEmpty(),
            contentType = ctx.contentType().orEmpty(),
            body = ctx.body(),
            idempotencyKey = ctx.header("Idempotency-Key"),
            stream = ctx.header("Accept") == EVENT_STREAM,
            remaining = (ctx.header("Berylpoint-Deadline-Ms")?.toLongOrNull() ?: 0).milliseconds,
        )
        ctx.future { scope.future { relay(call, ctx) } }
    }

    private suspend fun relay(call: BackendCall, ctx: Context) {
        val connection = core.connect(call)
        val endPoint = ctx.req().connection()
        connections += endPoint
        try {
            var isStream = false
            for (event in connection.incoming) {
                if (event is BackendEvent.Head) isStream = event.contentType == EVENT_STREAM
                // A write fails once the caller has closed the connection.
                withContext(Dispatchers.IO) { write(ctx, event, isStream) }
            }
        } finally {
            connections -= endPoint
            connection.disconnect(core)
        }
    }

    private fun write(ctx: Context, event: BackendEvent, isStream: Boolean) {
        val response = ctx.res()
        when (event) {
            is BackendEvent.Head -> {
                response.status = event.status
                response.contentType = event.contentType
            }

            is BackendEvent.Data -> response.outputStream.write(
                (if (isStream) "data: ${event.text}\n\n" else event.text).toByteArray(),
            )

            BackendEvent.KeepAlive -> if (isStream) response.outputStream.write(": keep-alive\n\n".toByteArray())

            BackendEvent.End -> Unit

            is BackendEvent.Broken -> {
                // Sends what was written, for the caller of a real server has it before the connection breaks.
                response.flushBuffer()
                ctx.req().connection().close()
                throw IOException(event.detail)
            }
        }
        if (isStream) response.outputStream.flush()
    }

    private fun configureControl(config: JavalinConfig) {
        config.startup.showJavalinBanner = false
        config.routes.post("/control/fault") { ctx ->
            val fault = JSON_FORMAT.decodeFromString(ServerFault.serializer(), ctx.body())
            ctx.answer { core -> core.switchOn(fault).let { DONE } }
        }
        config.routes.delete("/control/fault") { ctx -> ctx.answer { core -> core.switchOff().let { DONE } } }
        config.routes.post("/control/{action}") { ctx ->
            val action = ctx.pathParam("action")
            ctx.answer { core -> act(core, action) }
        }
        config.routes.get("/control/journal") { ctx ->
            val events = journal.events().drop(ctx.queryParam("from")?.toIntOrNull() ?: 0)
            ctx.contentType(JSON).result(JSON_FORMAT.encodeToString(EVENTS, events))
        }
    }

    private suspend fun act(core: S, action: String): Pair<Int, String> {
        when (action) {
            "kill" -> core.kill()

            "restart" -> {
                core.restart()
                withContext(Dispatchers.IO) {
                    stopListener()
                    startListener()
                }
            }

            "freeze" -> core.freeze()

            "thaw" -> core.thaw()

            "cold" -> core.becomeCold()

            "silence" -> core.silenceOpenConnections()

            else -> return 404 to """{"error":"no such action"}"""
        }
        return DONE
    }

    private companion object {
        const val JSON = "application/json"
        const val EVENT_STREAM = "text/event-stream"
        const val MAX_BODY_BYTES = 16_000_000L
        val DONE = 200 to "{}"
        val SERVED = listOf(HandlerType.GET, HandlerType.POST, HandlerType.PUT, HandlerType.PATCH, HandlerType.DELETE)
        val JSON_FORMAT = Json { classDiscriminator = "type" }
        val EVENTS = ListSerializer(JournalEvent.serializer())
    }
}
