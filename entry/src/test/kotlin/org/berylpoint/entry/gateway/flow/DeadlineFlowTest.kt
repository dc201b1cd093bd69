package org.berylpoint.entry.gateway.flow

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.test.runTest
import org.berylpoint.platform.wire.RequestHeaders

/** Deadlines of callers, which run from the moment at which they send. */
class DeadlineFlowTest :
    FunSpec({
        // Guards against servers that work for callers which have given up: a deadline counted from the moment at which
        // a thread took the request up, so on a late instance it ended after the caller's.
        test("a server gets no more time than the caller has left after the request waited here") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += okResponse()
                fixture.flow.serve(RecordingCaller("/look/1", headers = deadline(500), ageMillis = 300))
                fixture.sentDeadline() shouldBeLessThanOrEqual 200
            }
        }

        test("a server gets no more time than the caller has left when its bytes may have waited unread") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += okResponse()
                fixture.lagMillis = 300
                fixture.flow.serve(RecordingCaller("/look/1", headers = deadline(500)))
                fixture.sentDeadline() shouldBeLessThanOrEqual 200
            }
        }

        test("a request whose deadline passed while it waited here is refused as not run") {
            runTest {
                val fixture = RequestFlowFixture(this)
                val caller = RecordingCaller("/book/1", headers = deadline(500), ageMillis = 600)
                fixture.flow.serve(caller)
                caller.status shouldBe 503
                fixture.sent.size shouldBe 0
            }
        }
    })

private fun deadline(millis: Long) = listOf(RequestHeaders.DEADLINE_MILLIS to millis.toString())

private fun RequestFlowFixture.sentDeadline() =
    sent.single().second.headers.first { it.first == RequestHeaders.DEADLINE_MILLIS }.second.toLong()
