package org.berylpoint.entry.gateway.flow

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.berylpoint.platform.store.StoreRow
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Servers that say in their responses that they leave, or want no requests for a while. */
@OptIn(ExperimentalCoroutinesApi::class)
class ServerNoticesFlowTest :
    FunSpec({
        // Guards against requests to a server whose responses say that it leaves (DRAIN), before its entry does.
        test("a server that says that it leaves gets no more requests, also when its entry lapses and comes back") {
            runTest {
                val fixture = RequestFlowFixture(this, servers = 2)
                fixture.scripts += listOf(listOf(head(200, LEAVING), data("ok"), end()), okResponse())
                RecordingCaller("/look/1").also { fixture.flow.serve(it) }.status shouldBe 200
                val leaving = fixture.sent.single().first
                repeat(10) { RecordingCaller("/look/1").also { fixture.flow.serve(it) }.status shouldBe 200 }
                fixture.site.updateServerRows(listOf(StoreRow("servers", leaving, ByteArray(0), 20, isDeleted = true)))
                val entry = RequestFlowFixture.entry("10.0.0.9:80")
                fixture.site.updateServerRows(listOf(StoreRow("servers", leaving, entry, 21)))
                repeat(10) { RecordingCaller("/look/1").also { fixture.flow.serve(it) }.status shouldBe 200 }
                fixture.sent.drop(1).map { it.first } shouldNotContain leaving
            }
        }

        test("a server that started again under its id gets requests") {
            runTest {
                val fixture = RequestFlowFixture(this, servers = 1)
                fixture.scripts += listOf(listOf(head(200, LEAVING), data("ok"), end()), okResponse())
                RecordingCaller("/look/1").also { fixture.flow.serve(it) }.status shouldBe 200
                RecordingCaller("/look/2").also { fixture.flow.serve(it) }.status shouldBe 503
                fixture.restart("s1", revision = 20)
                RecordingCaller("/look/3").also { fixture.flow.serve(it) }.status shouldBe 200
            }
        }

        // Guards against a notice that counts only once a long stream has ended.
        test("a server that says so at the head of a stream gets no request while the stream goes on") {
            runTest {
                val fixture = RequestFlowFixture(this, servers = 1)
                fixture.scripts += listOf(listOf(head(200, LEAVING), event(1), event(2, after = 900), end()))
                val stream = RecordingCaller("/draft/1")
                val serving = launch { fixture.flow.serve(stream) }
                delay(500.milliseconds)
                RecordingCaller("/look/1").also { fixture.flow.serve(it) }.status shouldBe 503
                serving.join()
                stream.isComplete shouldBe true
                fixture.sent.size shouldBe 1
            }
        }

        // Guards against requests to a server in the time for which it asked for none (BUDGET).
        test("a server gets no requests for the time that its 503 names, whether or not it ran the request") {
            for (isNotRun in listOf(true, false)) {
                runTest {
                    val fixture = RequestFlowFixture(this, servers = 2)
                    val busy = listOf(head(503, "Retry-After" to "4", isNotRun = isNotRun), data("busy"), end())
                    fixture.scripts += listOf(busy, okResponse())
                    RecordingCaller("/look/1").also { fixture.flow.serve(it) }.status shouldBe 200
                    val first = fixture.sent.first().first
                    repeat(35) {
                        RecordingCaller("/look/1").also { fixture.flow.serve(it) }.status shouldBe 200
                        delay(100.milliseconds)
                    }
                    fixture.sent.drop(1).map { it.first } shouldNotContain first
                    delay(1.seconds)
                    repeat(20) { RecordingCaller("/look/1").also { fixture.flow.serve(it) } }
                    fixture.sent.count { it.first == first } shouldBeGreaterThan 1
                }
            }
        }

        test("a request is refused at once with the shortest wait when all servers want none") {
            runTest {
                val fixture = RequestFlowFixture(this, servers = 2)
                val busy = listOf("6", "3").map { listOf(head(503, "Retry-After" to it, isNotRun = true), end()) }
                fixture.scripts += busy
                RecordingCaller("/look/1").also { fixture.flow.serve(it) }.status shouldBe 503
                delay(1.seconds)
                val askedAt = currentTime
                val refused = RecordingCaller("/look/1").also { fixture.flow.serve(it) }
                refused.status shouldBe 503
                refused.header("Retry-After")!!.toDouble().shouldBeBetween(1.9, 2.0, 0.0)
                currentTime shouldBe askedAt
                fixture.sent.size shouldBe 2
            }
        }
    })

private val LEAVING = "Server-Leaving" to "1"
