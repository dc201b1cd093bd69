package org.berylpoint.entry.gateway.flow

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.berylpoint.entry.gateway.server.ServerRequest
import org.berylpoint.peer.NodeReport
import org.berylpoint.platform.wire.RequestHeaders
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class PromptQuarantineTest :
    FunSpec({
        // Guards against servers that crash one after the other (BUDGET): requests that are never alike shared one part
        // of their prompts, and each of them crashed a server in each of its attempts.
        test("requests with a prompt part that crashes servers are refused after a few crashes") {
            runTest {
                val fixture = fixture()
                val statuses = (1..20).map { i ->
                    delay(500.milliseconds)
                    fixture.serve("/draft/$i", "f1:40,bad:10,e$i:5").status
                }
                fixture.sent.size shouldBeLessThanOrEqual 4
                statuses.last() shouldBe 503
            }
        }

        // Guards against refused sound requests (LOST): they share their caller and their first part with the others.
        test("requests that share the first part with those that crash servers are served") {
            runTest {
                val fixture = fixture()
                val statuses = (1..20).map { i ->
                    delay(500.milliseconds)
                    fixture.serve("/draft/$i", "f1:40,bad:10,e$i:5")
                    fixture.serve("/draft/s$i", "f1:40,good:10,d$i:5").status
                }
                statuses.distinct() shouldBe listOf(200)
            }
        }

        test("the last part of a prompt is never suspected") {
            runTest {
                val fixture = fixture()
                repeat(10) {
                    delay(500.milliseconds)
                    fixture.serve("/draft/$it", "f$it:40,bad:10")
                }
                fixture.sent.size shouldBe 20
            }
        }

        test("an instance refuses requests for crashes that others have seen, and says when to come back") {
            runTest {
                val seen = fixture()
                repeat(3) {
                    delay(500.milliseconds)
                    seen.serve("/draft/$it", "bad:10,e$it:5")
                }
                val other = fixture()
                other.quarantine.mergeReport(seen.quarantine.addTo(NodeReport("seen", "a", 1, 1, 1)))
                val caller = other.serve("/draft/9", "bad:10,e9:5")
                caller.status shouldBe 503
                caller.header(RequestHeaders.RETRY_AFTER) shouldNotBe null
                other.sent.size shouldBe 0
            }
        }

        // Guards against a refusal that says "not run" for a request that has run.
        test("a request that has crashed servers itself is not reported as not run") {
            runTest {
                val fixture = fixture()
                val statuses = (1..3).map {
                    delay(500.milliseconds)
                    fixture.serve("/draft/$it", "bad:10,e$it:5").status
                }
                statuses shouldBe listOf(502, 502, 503)
                fixture.sent.size shouldBe 4
            }
        }
    })

/** An instance whose servers crash when they begin to answer a prompt with the part `bad`. */
@OptIn(ExperimentalCoroutinesApi::class)
private suspend fun TestScope.fixture(): RequestFlowFixture {
    // By then an instance no longer counts what its earlier process may have admitted.
    delay(10.seconds)
    return RequestFlowFixture(this, servers = 12).apply {
        scriptFor = { if (isDeadly(it)) listOf(head(200), failed()) else listOf(head(200), event(1), end()) }
    }
}

private fun isDeadly(request: ServerRequest) =
    request.headers.any { (name, value) -> name == RequestHeaders.PROMPT_PARTS && "bad:" in value }

/** Serves a request; the servers that it crashes are started again right after it. */
private suspend fun RequestFlowFixture.serve(path: String, parts: String): RecordingCaller {
    val headers = listOf(RequestHeaders.TOKENS to "1,1", RequestHeaders.PROMPT_PARTS to parts)
    val sentBefore = sent.size
    val caller = RecordingCaller(path, headers = headers).also { flow.serve(it) }
    sent.drop(sentBefore).filter { isDeadly(it.second) }
        .forEachIndexed { i, (id, _) -> restart(id, FIRST_RESTART + sentBefore + i) }
    return caller
}

/** Revision of a server's first restart; later than all entries of the fixture. */
private const val FIRST_RESTART = 100L
