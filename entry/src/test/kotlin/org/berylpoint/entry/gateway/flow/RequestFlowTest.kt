package org.berylpoint.entry.gateway.flow

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.berylpoint.platform.store.StoreRow
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class RequestFlowTest :
    FunSpec({
        // Guards against a second run of a non-idempotent request that may have run.
        test("a non-idempotent request whose response is lost is neither sent again nor reported as not run") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(failed())
                val caller = RecordingCaller("/book/1").also { fixture.flow.serve(it) }
                fixture.sent.size shouldBe 1
                caller.status shouldBe 502
            }
        }

        test("a non-idempotent request that its server did not receive is sent to another one") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(listOf(failed(isSent = false)), okResponse())
                val caller = RecordingCaller("/book/1").also { fixture.flow.serve(it) }
                fixture.sent.map { it.first }.toSet().size shouldBe 2
                caller.status shouldBe 200
            }
        }

        // Guards against a refusal while healthy servers are left, after all servers of a domain came back cold.
        test("unreachable servers do not use up a request's attempts when a domain is reclaimed") {
            runTest {
                val fixture = RequestFlowFixture(this, servers = 4)
                fixture.scripts += List(3) { listOf(failed(isSent = false)) } +
                    listOf(listOf(head(200), event(1), end()))
                val caller = RecordingCaller("/chat/1").also { fixture.flow.serve(it) }
                fixture.sent.size shouldBe 4
                caller.isComplete shouldBe true
            }
        }

        test("a non-idempotent request that all servers report as not run is refused with Retry-After") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(head(503, isNotRun = true), end())
                val caller = RecordingCaller("/book/1").also { fixture.flow.serve(it) }
                caller.status shouldBe 503
                caller.header("Retry-After") shouldNotBe null
            }
        }

        // Guards against forwarding a status that tells callers that the request did not run when it may have run.
        for (status in listOf(408, 429, 503)) {
            test("a server's $status without the not-run header is not forwarded") {
                runTest {
                    val fixture = RequestFlowFixture(this)
                    fixture.scripts += listOf(head(status, "X-Berylpoint-Response-Seal" to "s"), data("no"), end())
                    val caller = RecordingCaller("/book/1").also { fixture.flow.serve(it) }
                    caller.status shouldBe 502
                    caller.header("X-Berylpoint-Response-Seal") shouldBe null
                }
            }
        }

        test("a safe request that fails is retried on another server") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(listOf(head(500), data("bad"), end()), okResponse())
                val caller = RecordingCaller("/look/1", "GET").also { fixture.flow.serve(it) }
                caller.status shouldBe 200
                caller.body.toString() shouldBe "ok"
            }
        }

        test("the error response of the last attempt is forwarded unchanged") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(head(500, "X-Berylpoint-Response-Seal" to "s"), data("bad"), end())
                val caller = RecordingCaller("/look/1", "GET").also { fixture.flow.serve(it) }
                fixture.sent.size shouldBe 2
                caller.status shouldBe 500
                caller.header("X-Berylpoint-Response-Seal") shouldBe "s"
            }
        }

        test("events that a second server repeats are not sent to the caller again") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(head(200), event(1), event(2), failed())
                fixture.scripts += listOf(head(200), event(2), event(3), end())
                val caller = RecordingCaller("/draft/1").also { fixture.flow.serve(it) }
                caller.body.toString() shouldBe "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x3\n\n"
            }
        }

        // Guards against a response after the timeout, and against servers that go on with a request that timed out.
        test("a request is answered with 504 at the route's timeout, and the server's connection is closed") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf<ScriptedEvent>()
                val caller = RecordingCaller("/book/1").also { fixture.flow.serve(it) }
                caller.status shouldBe 504
                currentTime shouldBeInRange 590L..620L
                fixture.cancelled.size shouldBe 1
            }
        }

        test("a caller's deadline that is shorter than the route's timeout applies") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf<ScriptedEvent>()
                RecordingCaller("/book/1", headers = listOf("X-Berylpoint-Request-Deadline" to "200")).also {
                    fixture.flow.serve(it)
                }
                currentTime shouldBeInRange 190L..220L
                fixture.sent[0].second.headers shouldContain ("X-Berylpoint-Request-Deadline" to "200")
            }
        }

        test("the request to the server is cancelled soon after the caller disconnects") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf<ScriptedEvent>()
                RecordingCaller("/draft/1") { currentTime > 100 }.also { fixture.flow.serve(it) }
                fixture.cancelled.size shouldBe 1
                currentTime shouldBeLessThan 500
            }
        }

        test("headers reserved to Berylpoint are not accepted from callers") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += okResponse()
                val forged =
                    listOf("X-Berylpoint-Tenant", "X-Berylpoint-Cache-Hold", "Kv-From", "X-Berylpoint-Kv-Backup")
                RecordingCaller("/book/1", headers = forged.map { it to "forged" }).also { fixture.flow.serve(it) }
                val headers = fixture.sent[0].second.headers
                headers.map { it.second } shouldNotContain "forged"
                headers shouldContain ("X-Berylpoint-Tenant" to "w")
                headers.map { it.first } shouldNotContain "Authorization"
            }
        }

        // Guards against responses that are cut off when the instance stops (LOST in a run with rolling restarts).
        test("an instance that is about to stop refuses new requests with 503 and Retry-After") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += okResponse()
                fixture.isLeaving = true
                val caller = RecordingCaller("/chat/1").also { fixture.flow.serve(it) }
                caller.status shouldBe 503
                caller.header("Retry-After") shouldBe "0.01"
                fixture.sent.size shouldBe 0
            }
        }

        // Guards against requests that wait for an overloaded instance until they are late, instead of going elsewhere.
        test("an instance that is short of processor time refuses new requests at once, as not run") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += okResponse()
                fixture.hasProcessorTime = false
                val refused = RecordingCaller("/book/1").also { fixture.flow.serve(it) }
                refused.status shouldBe 503
                refused.header("Retry-After") shouldBe "0.10"
                currentTime shouldBe 0
                fixture.sent.size shouldBe 0
                fixture.hasProcessorTime = true
                RecordingCaller("/book/1").also { fixture.flow.serve(it) }.status shouldBe 200
            }
        }

        // Guards against requests that are accepted late in the grace period, run, and are cut off at its end.
        test("a stopping instance refuses what would not end in time, and serves the rest") {
            runTest {
                val fixture = RequestFlowFixture(this)
                val stream = listOf(head(200), event(1, after = 2_000), end())
                fixture.scriptFor = { if (it.isStream) stream else okResponse() }
                repeat(20) { RecordingCaller("/draft/1").also { fixture.flow.serve(it) }.isComplete shouldBe true }
                fixture.remainingMillis = 2_500
                RecordingCaller("/draft/1").also { fixture.flow.serve(it) }.isComplete shouldBe true
                fixture.remainingMillis = 1_500
                val sent = fixture.sent.size
                val refused = RecordingCaller("/draft/1").also { fixture.flow.serve(it) }
                refused.status shouldBe 503
                refused.header("Retry-After") shouldBe "0.01"
                fixture.sent.size shouldBe sent
                RecordingCaller("/look/1").also { fixture.flow.serve(it) }.status shouldBe 200
            }
        }

        // Guards against a 404 or 401 from a new instance that hasn't loaded the configuration yet.
        test("an instance without a configuration refuses requests with 503 and Retry-After") {
            runTest {
                val fixture = RequestFlowFixture(this, isConfigured = false)
                val caller = RecordingCaller("/none/1").also { fixture.flow.serve(it) }
                caller.status shouldBe 503
                caller.header("Retry-After") shouldBe "0.50"
            }
        }

        // Guards against refusals right after all instances restart, as after a power loss (mshikamano-book trouble-1).
        test("a request that arrives before the configuration is served once it is loaded") {
            runTest {
                val fixture = RequestFlowFixture(this, isConfigured = false)
                fixture.scripts += okResponse()
                val caller = RecordingCaller("/look/1")
                val serving = launch { fixture.flow.serve(caller) }
                delay(200.milliseconds)
                fixture.configure()
                serving.join()
                caller.status shouldBe 200
            }
        }

        // Guards against new instances that each send to a cold server at the rate that all of them share.
        test("an instance that does not know the other instances yet sends nothing to a cold server") {
            runTest {
                val fixture = RequestFlowFixture(this)
                val cold = RequestFlowFixture.entry("10.0.0.9:80", service = "fresh", coldMillis = 60_000)
                fixture.site.updateServerRows(listOf(StoreRow("servers", "cold", cold, 50)))
                fixture.scripts += okResponse()
                RecordingCaller("/fresh/1").also { fixture.flow.serve(it) }.status shouldBe 503
                fixture.sent.size shouldBe 0
                fixture.peers.isPeerListLoaded = true
                RecordingCaller("/fresh/2").also { fixture.flow.serve(it) }.status shouldBe 200
            }
        }

        test("a request that matches no route gets 404") {
            runTest {
                val fixture = RequestFlowFixture(this)
                val caller = RecordingCaller("/none/1").also { fixture.flow.serve(it) }
                caller.status shouldBe 404
            }
        }

        test("requests over a workspace's cap are refused with 429") {
            runTest {
                val fixture = RequestFlowFixture(this)
                delay(LONGER_THAN_WINDOW)
                fixture.scripts += okResponse()
                val statuses = (1..30).map {
                    RecordingCaller("/book/1", headers = listOf("X-Berylpoint-Token-Usage" to "50,50")).also {
                        fixture.flow.serve(it)
                    }.status
                }
                statuses.count { it == 200 } shouldBe 10
                statuses.last() shouldBe 429
            }
        }

        // Guards against retries that exceed a cap after a server crash (QUOTA in the run lkd-berylpoint scale-1).
        test("a run on a second server is charged to the cap again") {
            runTest {
                val fixture = RequestFlowFixture(this)
                delay(LONGER_THAN_WINDOW)
                fixture.scripts += listOf(listOf(head(500), data("bad"), end()), okResponse())
                val headers = listOf("X-Berylpoint-Token-Usage" to "200,250")
                RecordingCaller("/look/1", "GET", headers).also { fixture.flow.serve(it) }.status shouldBe 200
                val second = RecordingCaller("/look/1", "GET", listOf("X-Berylpoint-Token-Usage" to "100,100"))
                second.also { fixture.flow.serve(it) }.status shouldBe 200
                RecordingCaller("/look/1", "GET", headers).also { fixture.flow.serve(it) }.status shouldBe 429
            }
        }

        test("a request is not sent any more after three lost server connections") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(failed())
                repeat(5) { RecordingCaller("/draft/1").also { fixture.flow.serve(it) } }
                (fixture.sent.size <= 4) shouldBe true
            }
        }

        // Guards against a popular request that is refused for good after some servers crashed during it.
        test("a request that servers completed before is still sent after lost server connections") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(okResponse()) + List(6) { listOf(failed()) } + listOf(okResponse())
                val statuses = (1..5).map { RecordingCaller("/look/1", "GET").also { fixture.flow.serve(it) }.status }
                statuses shouldBe listOf(200, 502, 502, 502, 200)
            }
        }

        test("shared prompt tokens do not count as demand where the server is expected to have them cached") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += okResponse()
                delay(LONGER_THAN_WINDOW)
                val headers = listOf(
                    "X-Berylpoint-Token-Usage" to "50,5",
                    "X-Berylpoint-Prompt-Prefix" to "a1:40,b2:10",
                )
                RecordingCaller("/look/1", "GET", headers).also { fixture.flow.serve(it) }.status shouldBe 200
                fixture.prefillTokens() shouldBe 10
            }
        }

        test("a draining server gets no new requests, and a request without any server is refused") {
            runTest {
                val fixture = RequestFlowFixture(this, servers = 2)
                fixture.scripts += okResponse()
                fixture.site.updateServerRows(
                    listOf(StoreRow("servers", "s1", RequestFlowFixture.entry("10.0.0.1:80", state = "draining"), 10)),
                )
                repeat(5) { RecordingCaller("/book/1").also { fixture.flow.serve(it) } }
                fixture.sent.map { it.first }.toSet() shouldBe setOf("s2")
                fixture.site.updateServerRows(listOf(StoreRow("servers", "s2", ByteArray(0), 11, isDeleted = true)))
                val caller = RecordingCaller("/book/1").also { fixture.flow.serve(it) }
                caller.status shouldBe 503
            }
        }
    })

/** After this time an instance no longer counts what its earlier process may have admitted in the window. */
private val LONGER_THAN_WINDOW = 10.seconds
