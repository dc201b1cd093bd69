package org.berylpoint.entry.http

import arrow.core.left
import arrow.core.right
import io.javalin.Javalin
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.toList
import org.berylpoint.entry.backend.BackendCall
import org.berylpoint.entry.backend.BackendEvent
import org.berylpoint.entry.backend.ProbeFailure
import org.berylpoint.model.BackendServer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.RequestId
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

class HttpBackendClientTest :
    FunSpec({
        val client = HttpBackendClient()
        afterSpec { client.close() }

        test("`send` emits the events and comments of a stream; guards against a wrongly parsed event stream") {
            withEngine { address ->
                client.send(serverAt(address), call("/v1/chat/completions", stream = true)).toList() shouldBe listOf(
                    BackendEvent.Head(200, "text/event-stream"),
                    BackendEvent.KeepAlive,
                    BackendEvent.Data("one"),
                    BackendEvent.Data("two\nlines"),
                    BackendEvent.End,
                )
            }
        }

        test("`send` emits a plain response with its status and sends the request's headers") {
            withEngine { address ->
                client.send(serverAt(address), call("/echo", key = "k7")).toList() shouldBe listOf(
                    BackendEvent.Head(418, "text/plain"),
                    BackendEvent.Data("k7 r1 r1/1 5000 body"),
                    BackendEvent.End,
                )
            }
        }

        for (key in listOf(null, "k1")) {
            test("`send` with key $key to a closed port reports not sent; guards against a missing not-run") {
                val events = client.send(serverAt("http://127.0.0.1:${closedPort()}"), call("/x", key = key)).toList()
                events.single().shouldBeInstanceOf<BackendEvent.Broken>().sent shouldBe false
            }

            // Guards against requests to a server that began to leave while they waited for a connection.
            test("`send` with key $key sends nothing to a server that takes no requests any more") {
                withEngine { address ->
                    var isAccepted = true
                    val call = call("/echo", key = key).copy(isStillAccepted = { isAccepted })
                    client.send(serverAt(address), call).toList().last() shouldBe BackendEvent.End
                    isAccepted = false
                    val events = client.send(serverAt(address), call).toList()
                    events.single().shouldBeInstanceOf<BackendEvent.Broken>().sent shouldBe false
                }
            }

            test("`send` with key $key reports a disconnect after sending as sent; guards against a false not-run") {
                withDisconnectingServer { address ->
                    val events = client.send(serverAt(address), call("/x", key = key)).toList()
                    events.single().shouldBeInstanceOf<BackendEvent.Broken>().sent shouldBe true
                }
            }
        }

        // Guards against a server that fills the memory of its caller with bytes that never end.
        for ((type, stream) in listOf("text/plain" to false, "text/event-stream" to true)) {
            test("`send` reports a body of $type without end as broken") {
                withEndlessServer("HTTP/1.1 200 OK\r\nContent-Type: $type\r\n\r\n") { address ->
                    val events = client.send(serverAt(address), call("/x", stream = stream)).toList()
                    events.last().shouldBeInstanceOf<BackendEvent.Broken>().sent shouldBe true
                }
            }
        }

        test("`exportKv` takes a body without end for an engine that doesn't support it") {
            withEndlessServer("HTTP/1.1 200 OK\r\n\r\n") { address ->
                client.exportKv(serverAt(address), RequestId("r1")) shouldBe null
            }
        }

        test("`send` closes the connection when the collection is cancelled; guards against streams without a reader") {
            val closed = CompletableDeferred<Unit>()
            ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { socket ->
                thread {
                    socket.accept().use {
                        val head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n"
                        it.getOutputStream().apply { write(head.toByteArray()) }.flush()
                        while (it.getInputStream().read() >= 0) Unit
                        closed.complete(Unit)
                    }
                }
                val server = serverAt("http://127.0.0.1:${socket.localPort}")
                client.send(server, call("/v1/chat/completions", stream = true)).first { it is BackendEvent.Data }
                closed.await()
            }
        }

        test("`probe` distinguishes a ready server, a server that is not ready and a closed port") {
            withEngine { address ->
                client.probe(serverAt(address), 5.seconds) shouldBe true.right()
                client.probe(serverAt("$address/cold"), 5.seconds) shouldBe false.right()
            }
            client.probe(serverAt("http://127.0.0.1:${closedPort()}"), 5.seconds) shouldBe ProbeFailure.Refused.left()
        }

        test("KV transfer returns the handle, or null and false if the engine doesn't support it") {
            withEngine { address ->
                client.exportKv(serverAt(address), RequestId("r1")) shouldBe "kv-r1"
                client.importKv(serverAt(address), "kv-r1") shouldBe true
                client.exportKv(serverAt("$address/cold"), RequestId("r1")) shouldBe null
                client.importKv(serverAt("$address/cold"), "kv-r1") shouldBe false
            }
        }
    })

private fun serverAt(address: String) = BackendServer(BackendServerId("s1"), FailureDomain("muc-a"), address)

private fun call(path: String, key: String? = null, stream: Boolean = false) =
    BackendCall(RequestId("r1"), "r1/1", "POST", path, "text/plain", "body", key, stream, 5.seconds)

private fun closedPort(): Int = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }

private suspend fun withEngine(block: suspend (String) -> Unit) {
    val engine = Javalin.create { config ->
        config.startup.showJavalinBanner = false
        config.routes.post("/v1/chat/completions") {
            it.contentType("text/event-stream")
            it.result(": ping\n\ndata: one\n\nid: 3\ndata:two\ndata: lines\n\n")
        }
        config.routes.post("/echo") {
            val headers = listOf(
                "Idempotency-Key",
                "Berylpoint-Request-Id",
                "Berylpoint-Attempt",
                "Berylpoint-Deadline-Ms",
            )
            it.status(418).contentType("text/plain")
            it.result(headers.joinToString(" ") { name -> it.header(name).orEmpty() } + " " + it.body())
        }
        config.routes.get("/health") { it.result("ok") }
        config.routes.get("/cold/health") { it.status(503) }
        config.routes.post("/kv/export") { it.result("""{"handle":"kv-r1"}""") }
        config.routes.post("/kv/import") { it.result("{}") }
    }.start("127.0.0.1", 0)
    try {
        block("http://127.0.0.1:${engine.port()}")
    } finally {
        engine.stop()
    }
}

/** Accepts one connection, reads part of the request and closes the connection. */
private suspend fun withDisconnectingServer(block: suspend (String) -> Unit) {
    ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { socket ->
        thread { socket.accept().use { it.getInputStream().read() } }
        block("http://127.0.0.1:${socket.localPort}")
    }
}

/** Answers one request with [head], and then with the same byte until the caller closes the connection. */
private suspend fun withEndlessServer(head: String, block: suspend (String) -> Unit) {
    ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { socket ->
        thread {
            socket.accept().use {
                val bytes = ByteArray(65_536) { 'x'.code.toByte() }
                it.getOutputStream().write(head.toByteArray())
                runCatching { while (true) it.getOutputStream().write(bytes) }
            }
        }
        block("http://127.0.0.1:${socket.localPort}")
    }
}
