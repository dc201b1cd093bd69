package org.berylpoint.entry.gateway.flow

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.berylpoint.entry.gateway.server.SendObstacle
import kotlin.time.Duration.Companion.seconds

/** Streams over several attempts: how they go on, move to another server, and end. */
@OptIn(ExperimentalCoroutinesApi::class)
class StreamFlowTest :
    FunSpec({
        // Guards against missing, duplicated or merged events.
        test("a resumable stream continues on another server after the last complete event") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts +=
                    listOf(head(200, "X-Berylpoint-Response-Seal" to "first"), event(1), event(2), failed())
                fixture.scripts += listOf(head(200, "X-Berylpoint-Response-Seal" to "second"), event(3), end())
                val caller = RecordingCaller("/draft/1").also { fixture.flow.serve(it) }
                fixture.sent[1].second.headers shouldContain ("Last-Event-Id" to "2")
                caller.body.toString() shouldBe "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x3\n\n"
                caller.header("X-Berylpoint-Response-Seal") shouldBe "first"
                caller.isComplete shouldBe true
            }
        }

        test("a stream that ends within an event is aborted, not completed") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(head(200), event(1), data("id: 2\nda"), end())
                val caller = RecordingCaller("/chat/1").also { fixture.flow.serve(it) }
                caller.isAborted shouldBe true
                caller.body.toString() shouldBe "id: 1\ndata: x1\n\n"
            }
        }

        test("a stream that can't be resumed is aborted, not sent again") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(head(200), event(1), failed())
                val caller = RecordingCaller("/chat/1").also { fixture.flow.serve(it) }
                fixture.sent.size shouldBe 1
                caller.isAborted shouldBe true
            }
        }

        test("a resumable stream moves to another server when its server stops sending") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(head(200), event(1))
                fixture.scripts += listOf(head(200), event(2), end())
                val caller = RecordingCaller("/draft/1").also { fixture.flow.serve(it) }
                fixture.cancelled.size shouldBe 1
                caller.isComplete shouldBe true
                currentTime shouldBeLessThan 2_000
            }
        }

        // Guards against slow but sound streams that are cut.
        test("a slow stream that can't move to another server goes on until its deadline") {
            runTest {
                val fixture = RequestFlowFixture(this)
                val slowEvents = (2L..5L).map { event(it, after = 1_900) }
                fixture.scripts += listOf(listOf(head(200), event(1), failed()))
                fixture.scripts += listOf(listOf(head(200)) + slowEvents + end())
                val caller = RecordingCaller("/draft/1").also { fixture.flow.serve(it) }
                caller.isComplete shouldBe true
                fixture.sent.size shouldBe 2
            }
        }

        // Guards against sound streams that are cut because their server pauses while the others are full (LOST).
        test("a stream whose server is silent stays there while no other server has room") {
            runTest {
                val fixture = RequestFlowFixture(this, servers = 2, slots = 1)
                val other = fixture.reserve()
                fixture.scripts += listOf(head(200), event(1), event(2, after = 1_900), end())
                val caller = RecordingCaller("/draft/1").also { fixture.flow.serve(it) }
                caller.isComplete shouldBe true
                fixture.cancelled shouldBe emptyList()
                fixture.sent.map { it.first } shouldNotContain other.server.entry.id.value
            }
        }

        test("a stream whose server is silent moves as soon as another server has room") {
            runTest {
                val fixture = RequestFlowFixture(this, servers = 2, slots = 1)
                val other = fixture.reserve()
                fixture.scripts += listOf(head(200), event(1))
                fixture.scripts += listOf(head(200), event(2), end())
                val caller = RecordingCaller("/draft/1")
                val serving = launch { fixture.flow.serve(caller) }
                delay(3.seconds)
                fixture.pool.release(other, null)
                serving.join()
                caller.isComplete shouldBe true
                currentTime shouldBeLessThan 3_500
                fixture.pool.loadParts() shouldBe emptyList()
            }
        }

        // Guards against the same cut where the server that has room declines the stream after all.
        test("a stream that the next server declines goes on at the server that it left") {
            runTest {
                val fixture = RequestFlowFixture(this, servers = 2)
                fixture.scripts += listOf(head(200), event(1))
                fixture.scripts += listOf(head(503, isNotRun = true), end())
                fixture.scripts += listOf(head(200), event(2), end())
                val caller = RecordingCaller("/draft/1").also { fixture.flow.serve(it) }
                caller.isComplete shouldBe true
                fixture.sent.map { it.first }.let { it[2] shouldBe it[0] }
            }
        }

        // Guards against capacity that stays reserved for a move that is not completed.
        test("a caller that leaves during a move leaves no capacity reserved") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(head(200), event(1))
                val caller = RecordingCaller("/draft/1") { fixture.cancelled.isNotEmpty() }
                fixture.flow.serve(caller)
                fixture.pool.loadParts() shouldBe emptyList()
            }
        }

        // Guards against stalled streams that never end because the server sends something now and then.
        for ((name, filler) in mapOf("comments" to data(":\n\n", after = 500), "old events" to event(1, after = 500))) {
            test("a stream that brings only $name moves to another server") {
                runTest {
                    val fixture = RequestFlowFixture(this)
                    fixture.scripts += listOf(listOf(head(200), event(1)) + List(20) { filler })
                    fixture.scripts += listOf(listOf(head(200), event(2), end()))
                    val caller = RecordingCaller("/draft/1").also { fixture.flow.serve(it) }
                    caller.isComplete shouldBe true
                    caller.body.lines().filter { it.startsWith("id") } shouldBe listOf("id: 1", "id: 2")
                    (currentTime < 3_000) shouldBe true
                }
            }
        }

        // Guards against a second run for a caller that left while the first server was silent (GONE).
        test("a silent stream whose caller has left does not move") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(head(200), event(1))
                RecordingCaller("/draft/1") { currentTime > 1_300 }.also { fixture.flow.serve(it) }
                fixture.sent.size shouldBe 1
                fixture.pool.loadParts() shouldBe emptyList()
            }
        }

        // Guards against requests that reach a server after their caller has left, or their deadline has passed (GONE),
        // since it takes long to send them.
        test("a request is not wanted any more once its caller has left or its deadline has passed") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(head(200), event(1, after = 100), end())
                var hasLeft = false
                RecordingCaller("/draft/1") { hasLeft }.also { fixture.flow.serve(it) }
                val request = fixture.sent.single().second
                request.findObstacle() shouldBe null
                hasLeft = true
                request.findObstacle() shouldBe SendObstacle.RESPONSE_NOT_WANTED
                hasLeft = false
                delay(12.seconds)
                request.findObstacle() shouldBe SendObstacle.RESPONSE_NOT_WANTED
            }
        }

        // Guards against work for callers that have left (GONE): while the server kept sending, the caller's connection
        // was not looked at, and what is not forwarded shows nothing either.
        for ((name, sent) in mapOf("comments" to data(":\n\n", after = 50), "events" to event(1, after = 50))) {
            test("a request whose caller leaves while the server sends $name is cancelled soon") {
                runTest {
                    val fixture = RequestFlowFixture(this)
                    fixture.scripts += listOf(listOf(head(200)) + List(20) { sent })
                    RecordingCaller("/draft/1") { currentTime > 300 }.also { fixture.flow.serve(it) }
                    fixture.cancelled.size shouldBe 1
                    currentTime shouldBeLessThan 600
                }
            }
        }

        test("a stream that can't move and makes no progress ends at its deadline") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(listOf(head(200), event(1)) + List(100) { data(":\n\n", after = 500) })
                val caller = RecordingCaller("/chat/1").also { fixture.flow.serve(it) }
                caller.isAborted shouldBe true
                currentTime shouldBe 10_000
            }
        }
    })
