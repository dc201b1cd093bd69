package org.berylpoint.testkit.standin

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import kotlinx.coroutines.delay
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.berylpoint.model.BackendServer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.VersionName
import java.io.IOException
import java.net.ConnectException
import kotlin.time.Duration.Companion.milliseconds

class BackendHttpServerTest :
    FunSpec({
        val server = BackendServer(BackendServerId("s1"), FailureDomain("a"), "http://127.0.0.1")
        val client = OkHttpClient.Builder().retryOnConnectionFailure(false).build()

        fun post(port: Int, path: String, body: String = "", vararg headers: Pair<String, String>): Pair<Int, String> {
            val request = Request.Builder().url("http://127.0.0.1:$port$path").post(body.toRequestBody())
            headers.forEach { (name, value) -> request.header(name, value) }
            return client.newCall(request.build()).execute().use { it.code to it.body.string() }
        }

        fun get(port: Int, path: String): Pair<Int, String> =
            client.newCall(Request.Builder().url("http://127.0.0.1:$port$path").build()).execute()
                .use { it.code to it.body.string() }

        fun engine() = EngineServer(server, VersionName("v1"), speed = EngineSpeed(tokenMillis = 1.0)).apply { start() }

        test("an engine streams chat completion chunks and writes its journal") {
            engine().use { engine ->
                val body = FakeText.request("chat", "c7", "why", 5)
                val (status, events) = post(engine.port, FakeModelEngine.CHAT_PATH, body)
                status shouldBe 200
                events.lines().count { it.startsWith("data: {") } shouldBe 6
                events.trimEnd() shouldEndWith "data: [DONE]"
                get(engine.port, "/health").first shouldBe 200
                get(engine.port, "/load").second shouldContain "\"waiting\":0"
                get(engine.controlPort, "/control/journal").second shouldContain "\"call\":\"c7\""
            }
        }

        test("a fault switched on over the control path shows in answers") {
            engine().use { engine ->
                post(engine.controlPort, "/control/fault", """{"type":"fail","status":500}""").first shouldBe 200
                val body = FakeText.request("chat", "c7", "why", 5)
                post(engine.port, FakeModelEngine.CHAT_PATH, body).first shouldBe 500
            }
        }

        // Guards against a handler's exception ending the answer as complete while the listener stays up.
        test("a stream that breaks off ends its connection while the server stays up") {
            engine().use { engine ->
                post(engine.controlPort, "/control/fault", """{"type":"break-off"}""").first shouldBe 200
                val body = FakeText.request("chat", "c7", "why", 5)
                shouldThrow<IOException> { post(engine.port, FakeModelEngine.CHAT_PATH, body) }
                get(engine.port, "/health").first shouldBe 200
            }
        }

        test("a body that crashes the server breaks the connection and closes the port until a restart") {
            engine().use { engine ->
                val port = engine.port
                post(engine.controlPort, "/control/fault", """{"type":"crash-on-body","marker":"poison"}""")
                val body = FakeText.request("chat", "c7", "poison", 5)
                runCatching { post(port, FakeModelEngine.CHAT_PATH, body) }.exceptionOrNull()
                    .let { it is IOException } shouldBe true
                // The listener closes a moment after the call's connection.
                while (runCatching { get(port, "/health") }.exceptionOrNull() !is ConnectException) {
                    delay(5.milliseconds)
                }
                post(engine.controlPort, "/control/restart").first shouldBe 200
                get(port, "/health").first shouldBe 200
            }
        }

        test("a plain service counts a double run under its key") {
            PlainServer(server, VersionName("v1"), runMillis = 1.0).use { plain ->
                plain.start()
                val body = FakePlainService.request("b1", "7a")
                repeat(2) {
                    post(plain.port, "/bookings", body, "Idempotency-Key" to "k1") shouldBe
                        (200 to FakePlainService.expected("POST", "/bookings", body))
                }
                plain.onServer { it.runsByKey } shouldBe mapOf("k1" to 2)
                plain.journal.events().filterIsInstance<ServerEvent.Accepted>().map { it.idempotencyKey } shouldContain
                    "k1"
            }
        }

        test("an order with an old fencing number is refused only by an engine that honours it") {
            for ((honours, expected) in listOf(true to 409, false to 200)) {
                val engine = EngineServer(server.copy(honoursFencing = honours), VersionName("v1"))
                engine.use {
                    it.start()
                    post(it.port, "/orders", """{"order":"load v2","fencing":5}""").first shouldBe 200
                    post(it.port, "/orders", """{"order":"load v1","fencing":4}""").first shouldBe expected
                }
            }
        }
    })
