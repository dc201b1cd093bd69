package org.berylpoint.entry.gateway.flow

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.berylpoint.platform.store.StoreRow
import kotlin.time.Duration.Companion.milliseconds

/** Servers that leave between their selection for a request and its first byte. */
@OptIn(ExperimentalCoroutinesApi::class)
class DepartureFlowTest :
    FunSpec({
        // Guards against requests to a server that this instance knew to leave before it sent them (DRAIN, EVAC).
        for ((way, leave) in mapOf(
            "says in its entry that it drains" to { fixture: RequestFlowFixture, id: String ->
                val entry = RequestFlowFixture.entry("10.0.0.9:80", state = "draining")
                fixture.site.updateServerRows(listOf(StoreRow("servers", id, entry, 20)))
            },
            "has its entry deleted" to { fixture, id ->
                fixture.site.updateServerRows(listOf(StoreRow("servers", id, ByteArray(0), 20, isDeleted = true)))
            },
            "is missing in a reload of the table" to { fixture, id ->
                val others = listOf("s1", "s2", "s3") - id
                fixture.site.replaceServerRows(
                    others.map { StoreRow("servers", it, RequestFlowFixture.entry("10.0.0.9:80"), 20) },
                )
            },
            "has its entry deleted after a failed call of the store" to { fixture, id ->
                fixture.site.recordStoreFailure()
                fixture.site.updateServerRows(listOf(StoreRow("servers", id, ByteArray(0), 20, isDeleted = true)))
            },
            "was started again under its id" to { fixture, id -> fixture.restart(id, revision = 20) },
        )) {
            test("a request that waits to be sent goes to another server when its server $way") {
                for (path in listOf("/look/1", "/book/1", "/draft/1")) {
                    runTest {
                        val fixture = RequestFlowFixture(this)
                        fixture.scripts += if (path == "/draft/1") streamResponse() else okResponse()
                        fixture.sendDelayMillis = 100
                        val caller = RecordingCaller(path)
                        val serving = launch { fixture.flow.serve(caller) }
                        delay(50.milliseconds)
                        fixture.sent.size shouldBe 0
                        val chosen = fixture.pool.loadParts().single().server
                        leave(fixture, chosen)
                        serving.join()
                        fixture.sent.map { it.first == chosen } shouldBe listOf(false)
                        caller.status shouldBe 200
                        caller.isComplete shouldBe true
                    }
                }
            }
        }

        test("a request that waits to be sent is refused as not run when its failure domain goes out of service") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += okResponse()
                fixture.sendDelayMillis = 100
                val caller = RecordingCaller("/book/1")
                val serving = launch { fixture.flow.serve(caller) }
                delay(50.milliseconds)
                fixture.site.updateOperatorRows(listOf(StoreRow("op", "evacuate/a", "{}".encodeToByteArray(), 20)))
                serving.join()
                fixture.sent.size shouldBe 0
                caller.status shouldBe 503
            }
        }

        // Guards against requests to a server that has said in another response that it leaves (DRAIN).
        test("a request that waits to be sent goes elsewhere when its server says in a response that it leaves") {
            runTest {
                val fixture = RequestFlowFixture(this, servers = 2)
                fixture.sendDelayMillis = 100
                fixture.scripts += listOf(listOf(head(200, "Server-Leaving" to "1"), data("ok"), end()), okResponse())
                val callers = List(8) { RecordingCaller("/look/$it") }
                val serving = callers.map {
                    delay(20.milliseconds)
                    launch { fixture.flow.serve(it) }
                }
                serving.joinAll()
                val leaving = fixture.sent.first().first
                fixture.sent.drop(1).map { it.first } shouldNotContain leaving
                callers.map { it.status }.distinct() shouldBe listOf(200)
            }
        }

        // Guards against a move whose server left after it was reserved for the move.
        test("a silent stream does not move to a server that leaves before the request is sent there") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(listOf(head(200), event(1)), listOf(head(200), event(2), end()))
                val caller = RecordingCaller("/draft/1")
                val serving = launch { fixture.flow.serve(caller) }
                delay(100.milliseconds)
                fixture.sendDelayMillis = 100
                while (fixture.cancelled.isEmpty()) delay(10.milliseconds)
                val reserved = fixture.pool.loadParts().single().server
                val entry = RequestFlowFixture.entry("10.0.0.9:80", state = "draining")
                fixture.site.updateServerRows(listOf(StoreRow("servers", reserved, entry, 20)))
                serving.join()
                fixture.sent.size shouldBe 2
                fixture.sent.map { it.first } shouldNotContain reserved
                caller.body.toString() shouldBe "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\n"
                caller.isComplete shouldBe true
            }
        }

        // Guards against sound servers that are passed over for a second, since an instance that is short of processor
        // time sends too late.
        test("a request that is not sent since its caller has left says nothing of the server") {
            runTest {
                val fixture = RequestFlowFixture(this, servers = 2)
                fixture.scripts += okResponse()
                fixture.sendDelayMillis = 100
                val startedAt = currentTime
                fixture.flow.serve(RecordingCaller("/look/1") { currentTime > startedAt + 50 })
                fixture.sent.size shouldBe 0
                val used = List(6) { fixture.reserve().server.entry.id.value }.toSet()
                used shouldBe setOf("s1", "s2")
            }
        }
    })

private fun streamResponse() = listOf(head(200), event(1), end())
