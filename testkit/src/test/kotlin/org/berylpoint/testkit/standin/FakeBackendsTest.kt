package org.berylpoint.testkit.standin

import arrow.core.left
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.berylpoint.entry.backend.BackendCall
import org.berylpoint.entry.backend.BackendEvent
import org.berylpoint.entry.backend.ProbeFailure
import org.berylpoint.model.BackendServer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.Instance
import org.berylpoint.model.InstanceId
import org.berylpoint.model.RequestId
import org.berylpoint.model.VersionName
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class FakeBackendsTest :
    FunSpec({
        test("a resume after a migration gives the rest of the same text") {
            runTest {
                val scene = Scene(this)
                val body = FakeText.request("chat", "c1", "why", 30)
                val first = withTimeoutOrNull(600.milliseconds) { scene.texts("e1", body) { scene.partial += it } }
                first shouldBe null
                val prefix = scene.partial.joinToString("")
                val resumed = body.replace(
                    "\"}]}",
                    "\"},{\"role\":\"assistant\",\"content\":\"$prefix\"}],\"continue_final_message\":true}",
                )
                val rest = scene.texts("e2", resumed)
                prefix shouldNotBe ""
                prefix + rest.joinToString("") shouldBe FakeText.expected(body)
                scene.journal.events().filterIsInstance<ServerEvent.Cancelled>().map { it.served.server } shouldBe
                    listOf("e1")
            }
        }

        test("a killed server breaks running calls and refuses new ones") {
            runTest {
                val scene = Scene(this)
                launch {
                    delay(300.milliseconds)
                    scene.backends.server("e1").kill()
                }
                val body = FakeText.request("chat", "c1", "why", 100)
                scene.events("e1", body).last() shouldBe BackendEvent.Broken(true, "connection reset")
                scene.events("e1", body) shouldBe listOf(BackendEvent.Broken(false, "connection refused"))
                scene.client.probe(scene.server("e1"), 1.seconds) shouldBe ProbeFailure.Refused.left()
            }
        }

        test("a silent connection delivers nothing for good while a probe works") {
            runTest {
                val scene = Scene(this)
                scene.backends.server("e1").silenceNextConnection(parts = 3)
                val body = FakeText.request("chat", "c1", "why", 10)
                val seen = mutableListOf<BackendEvent>()
                withTimeoutOrNull(60.seconds) {
                    scene.client.send(scene.server("e1"), scene.call(body)).collect { seen += it }
                } shouldBe null
                seen.size shouldBe 3
                scene.client.probe(scene.server("e1"), 1.seconds).isRight() shouldBe true
                scene.events("e1", body).last() shouldBe BackendEvent.End
            }
        }

        test("duplicated and swapped parts carry token counts that restore the text") {
            runTest {
                val scene = Scene(this)
                val body = FakeText.request("chat", "c1", "why", 21)
                val counting = body.dropLast(1) + ""","stream_options":{"continuous_usage_stats":true}}"""
                for (fault in listOf(ServerFault.Duplicated, ServerFault.OutOfOrder)) {
                    scene.backends.server("e1").switchOn(fault)
                    val parts = scene.events("e1", counting).filterIsInstance<BackendEvent.Data>()
                        .filter { it.text.startsWith("{") }.map { Json.parseToJsonElement(it.text).jsonObject }
                    parts.map(::tokens) shouldNotBe parts.map(::tokens).distinct().sorted()
                    parts.filter { content(it) != "" }.sortedBy(::tokens).distinct()
                        .joinToString("") { content(it) } shouldBe FakeText.expected(body)
                    scene.backends.server("e1").switchOff()
                }
            }
        }

        test("a call beyond what a cold server carries is in the journal with its limit") {
            runTest {
                val scene = Scene(this)
                scene.backends.server("e1").restart()
                repeat(3) { launch { scene.events("e1", FakeText.request("chat", "c$it", "why", 10)) } }
                delay(30.seconds)
                scene.journal.events().filterIsInstance<ServerEvent.Accepted>().map { it.inFlight to it.limit }
                    .shouldContain(3 to 2)
            }
        }

        test("a call cancelled at once leaves the server's load") {
            runTest {
                val scene = Scene(this)
                scene.backends.link(FailureDomain("a"), FailureDomain("a"), LinkFault.Lossy(1.0))
                val body = FakeText.request("chat", "c1", "why", 10)
                scene.events("e1", body) shouldBe listOf(BackendEvent.Broken(true, "connection reset"))
                delay(1.seconds)
                scene.backends.server("e1").inFlight shouldBe 0
            }
        }

        test("a frozen server answers no probe and goes on when it thaws") {
            runTest {
                val scene = Scene(this)
                scene.backends.server("e1").freeze()
                scene.client.probe(scene.server("e1"), 1.seconds) shouldBe ProbeFailure.TimedOut.left()
                launch {
                    delay(5.seconds)
                    scene.backends.server("e1").thaw()
                }
                scene.texts("e1", FakeText.request("chat", "c1", "why", 5)).size shouldBe 6
            }
        }

        test("a booking that arrives twice shows as two runs of its key") {
            runTest {
                val scene = Scene(this)
                val call = scene.call(FakePlainService.request("b1", "7a"), "/bookings", "key-1")
                repeat(2) { scene.client.send(scene.server("p1"), call).toList().last() shouldBe BackendEvent.End }
                (scene.backends.server("p1") as FakePlainService).runsByKey shouldBe mapOf("key-1" to 2)
            }
        }
    }) {
    private class Scene(test: TestScope) {
        val journal = Journal.on(test.testTimeSource)
        val backends = FakeBackends(Random(1))
        val client = backends.viewFor(Instance(InstanceId("i1"), FailureDomain("a"), "127.0.0.1:1"))
        val partial = mutableListOf<String>()

        init {
            for (name in listOf("e1", "e2")) {
                backends.add(
                    FakeModelEngine(server(name), VersionName("v1"), journal, test.backgroundScope, Random(2)),
                )
            }
            backends.add(FakePlainService(server("p1"), VersionName("v1"), journal, test.backgroundScope, Random(3)))
        }

        fun server(name: String) = BackendServer(BackendServerId(name), FailureDomain("a"), "http://$name")

        fun call(body: String, path: String = FakeModelEngine.CHAT_PATH, key: String? = null) =
            BackendCall(RequestId("r1"), "r1-1", "POST", path, "application/json", body, key, true, 30.seconds)

        suspend fun events(name: String, body: String) = client.send(server(name), call(body)).toList()

        suspend fun texts(name: String, body: String, each: (String) -> Unit = {}): List<String> {
            val texts = mutableListOf<String>()
            client.send(server(name), call(body)).collect { event ->
                if (event is BackendEvent.Data && event.text.startsWith("{")) {
                    val text = content(Json.parseToJsonElement(event.text).jsonObject)
                    texts += text
                    each(text)
                }
            }
            return texts
        }
    }

    private companion object {
        fun tokens(chunk: JsonObject): Int =
            chunk.getValue("usage").jsonObject.getValue("completion_tokens").jsonPrimitive.int

        fun content(chunk: JsonObject): String =
            chunk.getValue("choices").jsonArray.first().jsonObject.getValue("delta").jsonObject["content"]
                ?.jsonPrimitive?.contentOrNull.orEmpty()
    }
}
