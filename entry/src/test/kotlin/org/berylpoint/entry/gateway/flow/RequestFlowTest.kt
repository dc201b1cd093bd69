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
        // Guards against a second run of a request that may have run.
        test("a booking whose answer is lost is not sent again and not called unrun") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(failed())
                val caller = RecordingCaller("/book/1").also { fixture.flow.serve(it) }
                fixture.sent.size shouldBe 1
                caller.status shouldBe 502
            }
        }

        test("a booking that no server got is sent to another one") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(listOf(failed(isSent = false)), answered())
                val caller = RecordingCaller("/book/1").also { fixture.flow.serve(it) }
                fixture.sent.map { it.first }.toSet().size shouldBe 2
                caller.status shouldBe 200
            }
        }

        // Guards against a refusal while sound servers are left (cold return of a whole domain).
        test("reclaim of a domain: servers that can't be reached do not use up a request's attempts") {
            runTest {
                val fixture = RequestFlowFixture(this, servers = 4)
                fixture.scripts += List(3) { listOf(failed(isSent = false)) } +
                    listOf(listOf(head(200), event(1), end()))
                val caller = RecordingCaller("/chat/1").also { fixture.flow.serve(it) }
                fixture.sent.size shouldBe 4
                caller.isComplete shouldBe true
            }
        }

        test("a booking that servers say they did not run is refused with a time to come back") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(head(503, isNotRun = true), end())
                val caller = RecordingCaller("/book/1").also { fixture.flow.serve(it) }
                caller.status shouldBe 503
                caller.header("Retry-After") shouldNotBe null
            }
        }

        // Guards against a false promise: a status that tells callers that nothing ran.
        for (status in listOf(408, 429, 503)) {
            test("a server's $status without the mark of an unrun request is not passed on") {
                runTest {
                    val fixture = RequestFlowFixture(this)
                    fixture.scripts += listOf(head(status, "X-Berylpoint-Response-Seal" to "s"), data("no"), end())
                    val caller = RecordingCaller("/book/1").also { fixture.flow.serve(it) }
                    caller.status shouldBe 502
                    caller.header("X-Berylpoint-Response-Seal") shouldBe null
                }
            }
        }

        test("a look-up that fails is answered by another server") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(listOf(head(500), data("bad"), end()), answered())
                val caller = RecordingCaller("/look/1", "GET").also { fixture.flow.serve(it) }
                caller.status shouldBe 200
                caller.body.toString() shouldBe "ok"
            }
        }

        test("a server's last failure is passed on as it is") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(head(500, "X-Berylpoint-Response-Seal" to "s"), data("bad"), end())
                val caller = RecordingCaller("/look/1", "GET").also { fixture.flow.serve(it) }
                fixture.sent.size shouldBe 2
                caller.status shouldBe 500
                caller.header("X-Berylpoint-Response-Seal") shouldBe "s"
            }
        }

        // Guards against missing, doubled or joined events.
        test("a resumable stream goes on at another server after the last whole event") {
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

        test("events that a second server repeats are passed over") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(head(200), event(1), event(2), failed())
                fixture.scripts += listOf(head(200), event(2), event(3), end())
                val caller = RecordingCaller("/draft/1").also { fixture.flow.serve(it) }
                caller.body.toString() shouldBe "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x3\n\n"
            }
        }

        test("a stream that ends within an event is not closed as complete") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(head(200), event(1), data("id: 2\nda"), end())
                val caller = RecordingCaller("/chat/1").also { fixture.flow.serve(it) }
                caller.isAborted shouldBe true
                caller.body.toString() shouldBe "id: 1\ndata: x1\n\n"
            }
        }

        test("a stream that may not be resumed is broken off, not sent again") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(head(200), event(1), failed())
                val caller = RecordingCaller("/chat/1").also { fixture.flow.serve(it) }
                fixture.sent.size shouldBe 1
                caller.isAborted shouldBe true
            }
        }

        test("a resumable stream leaves a server that has gone silent") {
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

        // Guards against a final answer that comes late, and against work for nobody.
        test("the final answer comes at the route's timeout, and the server's connection is closed") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf<ScriptedEvent>()
                val caller = RecordingCaller("/book/1").also { fixture.flow.serve(it) }
                caller.status shouldBe 504
                currentTime shouldBeInRange 590L..620L
                fixture.cancelled.size shouldBe 1
            }
        }

        test("a caller's shorter deadline goes before the route's timeout") {
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

        test("the server's work ends soon after its caller has left") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf<ScriptedEvent>()
                RecordingCaller("/draft/1") { currentTime > 100 }.also { fixture.flow.serve(it) }
                fixture.cancelled.size shouldBe 1
                currentTime shouldBeLessThan 500
            }
        }

        test("headers that only Berylpoint sets are not taken from callers") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += answered()
                val forged =
                    listOf("X-Berylpoint-Tenant", "X-Berylpoint-Cache-Hold", "Kv-From", "X-Berylpoint-Kv-Backup")
                RecordingCaller("/book/1", headers = forged.map { it to "forged" }).also { fixture.flow.serve(it) }
                val headers = fixture.sent[0].second.headers
                headers.map { it.second } shouldNotContain "forged"
                headers shouldContain ("X-Berylpoint-Tenant" to "w")
                headers.map { it.first } shouldNotContain "Authorization"
            }
        }

        // Guards against an answer that is cut when the instance ends (LOST on a day with rolling restarts).
        test("rolling restart: an instance that is about to end takes no new request and says so truthfully") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += answered()
                fixture.isLeaving = true
                val caller = RecordingCaller("/chat/1").also { fixture.flow.serve(it) }
                caller.status shouldBe 503
                caller.header("Retry-After") shouldBe "0.01"
                fixture.sent.size shouldBe 0
            }
        }

        // Guards against a denial by an instance that only does not know the configuration yet.
        test("no configuration: a new instance asks callers to come back and denies nothing") {
            runTest {
                val fixture = RequestFlowFixture(this, isConfigured = false)
                val caller = RecordingCaller("/none/1").also { fixture.flow.serve(it) }
                caller.status shouldBe 503
                caller.header("Retry-After") shouldBe "0.50"
            }
        }

        // Guards against refusals of callers that waited for a restart (mshikamano-book trouble-1, the power loss).
        test("restart of all instances: a request that comes before the configuration is served once it is there") {
            runTest {
                val fixture = RequestFlowFixture(this, isConfigured = false)
                fixture.scripts += answered()
                val caller = RecordingCaller("/look/1")
                val serving = launch { fixture.flow.serve(caller) }
                delay(200.milliseconds)
                fixture.configure()
                serving.join()
                caller.status shouldBe 200
            }
        }

        // Guards against many new instances that each take a cold server's whole pace for themselves.
        test("cold server: an instance that does not know the others yet sends it nothing") {
            runTest {
                val fixture = RequestFlowFixture(this)
                val cold = RequestFlowFixture.entry("10.0.0.9:80", service = "fresh", coldMillis = 60_000)
                fixture.site.updateServers(listOf(StoreRow("servers", "cold", cold, 50)))
                fixture.scripts += answered()
                RecordingCaller("/fresh/1").also { fixture.flow.serve(it) }.status shouldBe 503
                fixture.sent.size shouldBe 0
                fixture.peers.isComplete = true
                RecordingCaller("/fresh/2").also { fixture.flow.serve(it) }.status shouldBe 200
            }
        }

        test("a request without a route is denied") {
            runTest {
                val fixture = RequestFlowFixture(this)
                val caller = RecordingCaller("/none/1").also { fixture.flow.serve(it) }
                caller.status shouldBe 404
            }
        }

        test("flood of one workspace: what goes over the cap is refused and told when to come back") {
            runTest {
                val fixture = RequestFlowFixture(this)
                delay(LONGER_THAN_WINDOW)
                fixture.scripts += answered()
                val statuses = (1..30).map {
                    RecordingCaller("/book/1", headers = listOf("X-Berylpoint-Token-Usage" to "50,50")).also {
                        fixture.flow.serve(it)
                    }.status
                }
                statuses.count { it == 200 } shouldBe 10
                statuses.last() shouldBe 429
            }
        }

        // Guards against a cap that is exceeded by runs after a crash (QUOTA on lkd-berylpoint scale-1).
        test("crash of servers: a run at a second server counts in the cap again") {
            runTest {
                val fixture = RequestFlowFixture(this)
                delay(LONGER_THAN_WINDOW)
                fixture.scripts += listOf(listOf(head(500), data("bad"), end()), answered())
                val headers = listOf("X-Berylpoint-Token-Usage" to "200,250")
                RecordingCaller("/look/1", "GET", headers).also { fixture.flow.serve(it) }.status shouldBe 200
                val second = RecordingCaller("/look/1", "GET", listOf("X-Berylpoint-Token-Usage" to "100,100"))
                second.also { fixture.flow.serve(it) }.status shouldBe 200
                RecordingCaller("/look/1", "GET", headers).also { fixture.flow.serve(it) }.status shouldBe 429
            }
        }

        test("crashing request: after three broken connections it is sent nowhere") {
            runTest {
                val fixture = RequestFlowFixture(this)
                fixture.scripts += listOf(failed())
                repeat(5) { RecordingCaller("/draft/1").also { fixture.flow.serve(it) } }
                (fixture.sent.size <= 4) shouldBe true
            }
        }

        test("reclaim: a draining server gets nothing more, and a request without any server is refused at once") {
            runTest {
                val fixture = RequestFlowFixture(this, servers = 2)
                fixture.scripts += answered()
                fixture.site.updateServers(
                    listOf(StoreRow("servers", "s1", RequestFlowFixture.entry("10.0.0.1:80", state = "draining"), 10)),
                )
                repeat(5) { RecordingCaller("/book/1").also { fixture.flow.serve(it) } }
                fixture.sent.map { it.first }.toSet() shouldBe setOf("s2")
                fixture.site.updateServers(listOf(StoreRow("servers", "s2", ByteArray(0), 11, isDeleted = true)))
                val caller = RecordingCaller("/book/1").also { fixture.flow.serve(it) }
                caller.status shouldBe 503
            }
        }
    })

/** After this time an instance no longer reckons with what an earlier process admitted. */
private val LONGER_THAN_WINDOW = 10.seconds

private fun answered() = listOf(head(200), data("ok"), end())
