package org.berylpoint.entry.gateway.flow

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.test.runTest

/** Streams whose end shows only by the end of the connection, since the response has neither a length nor chunks. */
class StreamEndTest :
    FunSpec({
        // Guards against a stream that looks complete although its server broke it off.
        for ((place, text) in mapOf(
            "an event" to "id: 2\ndata: x",
            "an event, after a line of it" to "id: 2\ndata: x2\n",
            "a comment" to ":",
            "the line after a comment" to ": ping\n",
        )) {
            test("a stream that ends within $place goes on at another server") {
                runTest {
                    val fixture = RequestFlowFixture(this)
                    fixture.scripts += listOf(listOf(head(200), event(1), data(text), end()))
                    fixture.scripts += listOf(listOf(head(200), event(2), end()))
                    val caller = RecordingCaller("/draft/1").also { fixture.flow.serve(it) }
                    caller.isComplete shouldBe true
                    caller.body.toString() shouldBe "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\n"
                }
            }

            test("a stream that ends within $place and can't go on is broken off") {
                runTest {
                    val fixture = RequestFlowFixture(this)
                    fixture.scripts += listOf(head(200), event(1), data(text), end())
                    val caller = RecordingCaller("/chat/1").also { fixture.flow.serve(it) }
                    caller.isAborted shouldBe true
                    caller.body.toString() shouldBe "id: 1\ndata: x1\n\n"
                }
            }
        }

        // Guards against a complete stream that is broken off, or sent again, for a further empty line at its end.
        test("a stream that ends with a further empty line is complete") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(head(200), event(1), data("\n"), end())
                val caller = RecordingCaller("/chat/1").also { fixture.flow.serve(it) }
                caller.isComplete shouldBe true
                fixture.sent.size shouldBe 1
            }
        }
    })
