package org.berylpoint.entry.http

import arrow.core.Either
import arrow.core.left
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.berylpoint.entry.catalogue.CatalogueSource
import org.berylpoint.entry.pipeline.Pipeline
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.InstanceId
import org.berylpoint.model.Problem
import org.berylpoint.model.ResponseEvent
import org.berylpoint.model.ServeRequest
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private const val CHAT = """{"model":"chat","messages":[{"role":"user","content":"hello"}],"stream":true}"""

class CallerServerTest :
    FunSpec({
        val client = OkHttpClient()

        test("`CallerServer` streams events in order; guards against lost events and missing frames") {
            val events = (1..200).map { ResponseEvent.Data("token $it") }
            val pipeline = Pipeline {
                flowOf(ResponseEvent.Head(200, "text/event-stream"), *events.toTypedArray(), ResponseEvent.End)
            }
            withServer(pipeline) { url ->
                client.post("$url/v1/chat/completions", CHAT).use {
                    it.code shouldBe 200
                    it.body.string() shouldBe events.joinToString("") { e -> "data: ${e.text}\n\n" }
                }
            }
        }

        test("`CallerServer` responds with an RFC 9457 problem; guards against missing members that callers use") {
            val pipeline = Pipeline { flowOf(ResponseEvent.Failed(Problem(ErrorKind.Overloaded, "full"))) }
            withServer(pipeline) { url ->
                client.post("$url/v1/chat/completions", CHAT).use {
                    it.code shouldBe 429
                    it.header("Content-Type") shouldBe "application/problem+json"
                    val problem = Json.parseToJsonElement(it.body.string()).jsonObject
                    problem.text("kind") shouldBe "Overloaded"
                    problem.text("ran") shouldBe "not-run"
                    problem.text("requestId") shouldBe it.header("Berylpoint-Request-Id")
                }
            }
        }

        test("`CallerServer` ends a failed stream with an error event; guards against truncation that looks complete") {
            val pipeline = Pipeline {
                flowOf(
                    ResponseEvent.Head(200, "text/event-stream"),
                    ResponseEvent.Data("a"),
                    ResponseEvent.Failed(Problem(ErrorKind.BackendFailed, "gone")),
                )
            }
            withServer(pipeline) { url ->
                val body = client.post("$url/v1/chat/completions", CHAT).use { it.body.string() }
                body shouldContain "event: error\ndata: {"
                body shouldNotContain "[DONE]"
            }
        }

        test("`CallerServer` sends a problem instead of a truncated body; guards against partial responses") {
            val pipeline = Pipeline {
                flow {
                    emit(ResponseEvent.Head(200, "text/plain"))
                    emit(ResponseEvent.Data("half"))
                    emit(ResponseEvent.Failed(Problem(ErrorKind.BackendFailed, "gone")))
                }
            }
            withServer(pipeline) { url ->
                client.post("$url/services/booking/x", "b").use {
                    it.code shouldBe 502
                    it.body.string() shouldContain "\"BackendFailed\""
                }
            }
        }

        test("`CallerServer` ends running responses with status 503 on close; guards against endless waits") {
            val started = CompletableDeferred<Unit>()
            val status = CompletableDeferred<Int>()
            val pipeline = Pipeline {
                flow {
                    started.complete(Unit)
                    awaitCancellation()
                }
            }
            withServer(pipeline) { url ->
                thread {
                    status.complete(client.post("$url/v1/chat/completions", CHAT).use { it.code })
                }
                started.await()
            }
            status.await() shouldBe 503
        }

        test("`CallerServer` forwards the path after the class and the complete response unchanged") {
            lateinit var received: ServeRequest
            val pipeline = Pipeline {
                received = it
                flowOf(ResponseEvent.Head(201, "text/plain"), ResponseEvent.Data("seat 4"), ResponseEvent.End)
            }
            withServer(pipeline) { url ->
                client.post("$url/services/booking/seats/4?hall=2", "x", "Idempotency-Key" to "k1").use {
                    it.code shouldBe 201
                    it.body.string() shouldBe "seat 4"
                }
                received.path shouldBe "/seats/4?hall=2"
                received.idempotencyKey?.value shouldBe "k1"
            }
        }

        test("`CallerServer` refuses a body above the limit; guards against unbounded memory use") {
            withServer(Pipeline { flowOf() }, HttpLimits(maxBodyBytes = 100)) { url ->
                client.post("$url/services/booking/x", "y".repeat(101)).use {
                    it.code shouldBe 413
                    it.body.string() shouldContain "\"TooLarge\""
                }
            }
        }

        test("`CallerServer` cancels the response when the caller disconnects; guards against wasted backend work") {
            val cancelled = CompletableDeferred<Unit>()
            val pipeline = Pipeline {
                flow {
                    try {
                        emit(ResponseEvent.Head(200, "text/event-stream"))
                        while (true) {
                            emit(ResponseEvent.Data("more"))
                            delay(5.milliseconds)
                        }
                    } finally {
                        cancelled.complete(Unit)
                    }
                }
            }
            withServer(pipeline) { url ->
                client.post("$url/v1/chat/completions", CHAT).use { it.body.source().readUtf8Line() }
                cancelled.await()
            }
        }

        test("`CallerServer` sends comment lines while a stream is idle; guards against undetected disconnects") {
            val pipeline = Pipeline {
                flow {
                    emit(ResponseEvent.Head(200, "text/event-stream"))
                    emit(ResponseEvent.Data("a"))
                    delay(300.milliseconds)
                    emit(ResponseEvent.Data("b"))
                    emit(ResponseEvent.End)
                }
            }
            withServer(pipeline, HttpLimits(keepAliveInterval = 50.milliseconds)) { url ->
                val body = client.post("$url/v1/chat/completions", CHAT).use { it.body.string() }
                body shouldContain ": keep-alive\n\n"
                body shouldEndWith "data: b\n\n"
            }
        }
    })

private fun JsonObject.text(name: String) = getValue(name).jsonPrimitive.content

private fun OkHttpClient.post(url: String, body: String, vararg headers: Pair<String, String>): Response {
    val request = Request.Builder().url(url).header("Berylpoint-Workspace", "union-1")
        .post(body.toRequestBody("application/json".toMediaType()))
    headers.forEach { (name, value) -> request.header(name, value) }
    return newCall(request.build()).execute()
}

private suspend fun withServer(
    pipeline: Pipeline,
    limits: HttpLimits = HttpLimits(),
    block: suspend (String) -> Unit,
) {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val server = CallerServer(InstanceId("e1"), scope, TimeSource.Monotonic, NoCatalogue, pipeline, limits)
    try {
        server.start("127.0.0.1", 0)
        block("http://127.0.0.1:${server.port}")
    } finally {
        server.close()
        scope.cancel()
    }
}

private object NoCatalogue : CatalogueSource {
    override val current: StateFlow<Catalogue?> = MutableStateFlow(null)

    override suspend fun submit(update: CatalogueUpdate): Either<Problem, Long> =
        Problem(ErrorKind.StoreUnavailable, "none").left()
}
