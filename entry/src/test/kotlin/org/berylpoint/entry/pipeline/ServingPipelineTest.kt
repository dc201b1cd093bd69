package org.berylpoint.entry.pipeline

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.berylpoint.entry.backend.BackendCall
import org.berylpoint.entry.backend.BackendEvent
import org.berylpoint.entry.backend.ListedServer
import org.berylpoint.entry.judgement.EvidenceOutcome
import org.berylpoint.entry.once.OnceDecision
import org.berylpoint.entry.once.StoredAnswer
import org.berylpoint.model.ClassLimits
import org.berylpoint.model.EntryName
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.Problem
import org.berylpoint.model.RequestClass
import org.berylpoint.model.ResponseEvent
import org.berylpoint.model.RunState
import org.berylpoint.model.ServiceKind
import org.berylpoint.model.VersionName
import org.berylpoint.peer.AttemptOutcome
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private typealias Script = suspend FlowCollector<BackendEvent>.(BackendCall) -> Unit

private val refusing: Script = { emit(BackendEvent.Broken(sent = false, "connection refused")) }
private val breaking: Script = {
    emit(BackendEvent.Head(200, "text/plain"))
    emit(BackendEvent.Data("half"))
    emit(BackendEvent.Broken(sent = true, "connection reset"))
}

private fun answering(text: String, status: Int = 200, after: kotlin.time.Duration = 10.milliseconds): Script = {
    delay(after)
    emit(BackendEvent.Head(status, "text/plain"))
    emit(BackendEvent.Data(text))
    emit(BackendEvent.End)
}

private fun whole(text: String, status: Int = 200) =
    listOf(ResponseEvent.Head(status, "text/plain"), ResponseEvent.Data(text), ResponseEvent.End)

private val List<ResponseEvent>.problem: Problem get() = single().shouldBeInstanceOf<ResponseEvent.Failed>().problem

@OptIn(ExperimentalCoroutinesApi::class)
class ServingPipelineTest :
    FunSpec({
        test("an answer is relayed completely; guards against leaked places and missing evidence") {
            runTest {
                val fixture = PipelineFixture(this).apply { server("s1", script = answering("ok")) }
                fixture.serve() shouldBe whole("ok")
                fixture.reservations.released shouldContainExactly listOf("s1" to AttemptOutcome.COMPLETED)
                fixture.judge.evidence shouldContainExactly listOf("v1/seats" to EvidenceOutcome.GOOD)
            }
        }

        val refusals = listOf<Triple<ErrorKind, String, suspend (PipelineFixture) -> List<ResponseEvent>>>(
            Triple(ErrorKind.NotReady, "no catalogue") {
                it.catalogue.value = null
                it.serve()
            },
            Triple(ErrorKind.UnknownClass, "a class that is not in the catalogue") {
                it.serve(it.request().copy(requestClass = RequestClass("x")))
            },
            Triple(ErrorKind.UnknownClass, "a plain class requested as a model") {
                it.serve(it.request(kind = ServiceKind.MODEL))
            },
            Triple(ErrorKind.DeadlineExceeded, "a deadline that has passed") {
                it.serve(it.request(deadline = (-1).seconds))
            },
            Triple(ErrorKind.ShuttingDown, "a request during a drain") {
                it.pipeline.drain(1.seconds)
                it.serve()
            },
            Triple(ErrorKind.Quarantined, "a quarantined request body") {
                it.judge.quarantined = true
                it.serve()
            },
            Triple(ErrorKind.NoBackend, "a class without servers") {
                it.servers.clear()
                it.serve()
            },
        )
        for ((kind, case, serveCase) in refusals) {
            test("$case is refused as $kind and not-run; guards against a call that still reaches a server") {
                runTest {
                    val fixture = PipelineFixture(this).apply { server("s1", script = answering("ok")) }
                    val problem = serveCase(fixture).problem
                    problem.kind shouldBe kind
                    problem.runState shouldBe RunState.NOT_RUN
                    fixture.backends.calls.shouldBeEmpty()
                }
            }
        }

        test("a refused connection is retried on another server; guards against failing while other servers work") {
            runTest {
                val fixture = PipelineFixture(this)
                for (name in listOf("s1", "s2", "s3")) {
                    fixture.server(name, script = if (name == "s3") answering("ok") else refusing)
                }
                fixture.serve() shouldBe whole("ok")
                fixture.reservations.inFlight.values.sum() shouldBe 0
                fixture.judge.evidence.map { it.second } shouldContainExactly listOf(EvidenceOutcome.GOOD)
            }
        }

        test("a request is reported as not-run if all servers refuse the connection") {
            runTest {
                val fixture = PipelineFixture(this).apply { server("s1", script = refusing) }
                val problem = fixture.serve().problem
                problem.kind shouldBe ErrorKind.NoBackend
                problem.runState shouldBe RunState.NOT_RUN
            }
        }

        test("a request that was sent is never reported as not-run after a broken connection and a refused retry") {
            runTest {
                val fixture = PipelineFixture(this).apply { server("s1", script = breaking) }
                fixture.backends.scripts["s1"] = {
                    fixture.judge.quarantined = true
                    emit(BackendEvent.Broken(sent = true, "connection reset"))
                }
                val problem = fixture.serve().problem
                problem.kind shouldBe ErrorKind.Quarantined
                problem.runState shouldBe RunState.UNKNOWN
            }
        }

        test("a partial answer is discarded and the request retried; guards against joining parts of two answers") {
            runTest {
                val fixture = PipelineFixture(this)
                var calls = 0
                for (name in listOf("s1", "s2")) {
                    fixture.server(name) { call -> if (calls++ == 0) breaking(call) else answering("ok")(call) }
                }
                fixture.serve() shouldBe whole("ok")
            }
        }

        test("a server that refuses connections after a broken connection counts as crashed by the request") {
            runTest {
                val fixture = PipelineFixture(this)
                fixture.server("s1") {
                    fixture.backends.down += "s1"
                    breaking(it)
                }
                fixture.serve()
                fixture.judge.crashes shouldContainExactly listOf("r1/1")
                fixture.reservations.released.first() shouldBe ("s1" to AttemptOutcome.CRASHED)
                fixture.judge.evidence.shouldBeEmpty()
            }
        }

        test("the end of a leaving server counts as no crash; guards against quarantine because of reclaims") {
            runTest {
                val fixture = PipelineFixture(this)
                val server = fixture.server("s1") {
                    val listed = fixture.servers.values.first { it.server.id.value == "s1" }
                    fixture.servers[listed.server.id] = listed.copy(state = ListedServer.State.Leaving(0))
                    fixture.backends.down += "s1"
                    breaking(it)
                }
                fixture.server("s2", script = answering("ok"))
                fixture.reservations.limits["s2"] = 0
                launch {
                    delay(1.seconds)
                    fixture.reservations.limits["s2"] = 1
                }
                fixture.serve() shouldBe whole("ok")
                fixture.backends.calls.first().first shouldBe server.id.value
                fixture.judge.crashes.shouldBeEmpty()
            }
        }

        test("an error status is retried on other servers and relayed when no retry is left") {
            runTest {
                val fixture = PipelineFixture(this)
                for (name in listOf("s1", "s2", "s3", "s4", "s5", "s6")) {
                    fixture.server(name, script = answering("broken", status = 500))
                }
                fixture.serve() shouldBe whole("broken", status = 500)
                fixture.backends.calls.map { it.first }.distinct() shouldHaveSize 4
            }
        }

        test("retries are limited to 3 plus a tenth of the first attempts; guards against retry storms") {
            runTest {
                val fixture = PipelineFixture(this, ClassLimits(maxInFlight = 1_000, queueLimit = 1_000))
                fixture.server("s1", script = answering("broken", status = 500))
                fixture.server("s2", script = answering("broken", status = 500))
                List(100) { async { fixture.serve() } }.awaitAll()
                fixture.backends.calls shouldHaveSize 100 + 3 + 10
            }
        }

        test("a request that waits for a place is served when one becomes free") {
            runTest {
                val fixture = PipelineFixture(this).apply { server("s1", script = answering("ok", after = 1.seconds)) }
                fixture.reservations.limits["s1"] = 1
                List(5) { async { fixture.serve() } }.awaitAll().toSet() shouldBe setOf(whole("ok"))
                fixture.reservations.inFlight["s1"] shouldBe 0
            }
        }

        test("a request that can't complete in time is refused early; guards against queues that only time out") {
            runTest {
                val fixture = PipelineFixture(this, ClassLimits(maxInFlight = 1, queueLimit = 100))
                fixture.server("s1", script = answering("ok", after = 1.seconds))
                fixture.reservations.limits["s1"] = 1
                repeat(12) { fixture.serve() }
                val start = currentTime
                val refusedAtMillis = ArrayList<Long>()
                List(20) {
                    async {
                        val answer = fixture.serve(fixture.request(deadline = 5.5.seconds))
                        if (answer.size == 1) refusedAtMillis += currentTime - start
                        answer
                    }
                }.awaitAll().forEach { answer ->
                    if (answer.size == 1) answer.problem.runState shouldBe RunState.NOT_RUN
                }
                // Requests that can't be served are refused about one run time (1 s) before the deadline at the latest.
                (refusedAtMillis.max() <= 4_600) shouldBe true
            }
        }

        test("the number of waiting requests of a class is limited by queueLimit") {
            runTest {
                val fixture = PipelineFixture(this, ClassLimits(maxInFlight = 1, queueLimit = 2))
                fixture.server("s1", script = answering("ok", after = 1.seconds))
                fixture.reservations.limits["s1"] = 1
                val answers = List(5) { async { fixture.serve() } }.awaitAll()
                answers.count { it.size == 1 && it.problem.kind == ErrorKind.Overloaded } shouldBe 2
            }
        }

        test("a late answer is reported as DeadlineExceeded and unknown; its place stays reserved until it ends") {
            runTest {
                val fixture = PipelineFixture(this).apply { server("s1", script = answering("ok", after = 60.seconds)) }
                val problem = fixture.serve(fixture.request(deadline = 2.seconds)).problem
                problem.kind shouldBe ErrorKind.DeadlineExceeded
                problem.runState shouldBe RunState.UNKNOWN
                fixture.reservations.inFlight["s1"] shouldBe 1
                delay(60.seconds)
                fixture.reservations.inFlight["s1"] shouldBe 0
            }
        }

        test("the remaining time until the deadline is sent to the server") {
            runTest {
                val fixture = PipelineFixture(this).apply { server("s1", script = answering("ok")) }
                fixture.serve(fixture.request(deadline = 3.seconds))
                fixture.backends.calls.single().second.remaining shouldBe 3.seconds
            }
        }

        test("a version gets no more than its share of requests when the other version is full") {
            runTest {
                val fixture = PipelineFixture(this, ClassLimits(maxInFlight = 1_000, queueLimit = 1_000))
                val canary = fixture.entry.copy(name = EntryName("e2"), version = VersionName("v2"))
                fixture.judge.shares = mapOf(VersionName("v1") to 0.95, VersionName("v2") to 0.05)
                fixture.server("old", script = answering("ok"))
                fixture.server("new", of = canary, script = answering("ok"))
                fixture.reservations.limits["old"] = 2
                List(400) { async { fixture.serve(fixture.request(deadline = 5.seconds)) } }.awaitAll()
                val byServer = fixture.backends.calls.groupingBy { it.first }.eachCount()
                (byServer.getValue("new") <= 30) shouldBe true
            }
        }

        val keyedLimits = ClassLimits(maxInFlight = 4, idempotent = false, maxRunMillis = 30_000)

        test("a non-idempotent request without a key is refused") {
            runTest {
                val fixture = PipelineFixture(this, keyedLimits).apply { server("s1", script = answering("ok")) }
                fixture.serve().problem.kind shouldBe ErrorKind.KeyRequired
            }
        }

        test("a non-idempotent request is recorded before it is sent and its answer is stored afterwards") {
            runTest {
                val fixture = PipelineFixture(this, keyedLimits).apply { server("s1", script = answering("seat")) }
                fixture.serve(fixture.request(key = "k")) shouldBe whole("seat")
                fixture.once.log shouldContainExactly listOf("begin", "dispatch s1", "finish seat")
                fixture.backends.calls.single().second.idempotencyKey shouldBe "k"
            }
        }

        test("a repeated request gets the stored answer without a call to a server") {
            runTest {
                val fixture = PipelineFixture(this, keyedLimits).apply { server("s1", script = answering("seat")) }
                fixture.once.decision = { OnceDecision.Answered(StoredAnswer(201, "text/plain", "seat 4")) }
                fixture.serve(fixture.request(key = "k")) shouldBe whole("seat 4", status = 201)
                fixture.backends.calls.shouldBeEmpty()
            }
        }

        test("a request whose dispatch can't be recorded is not sent; guards against a run without a record") {
            runTest {
                val fixture = PipelineFixture(this, keyedLimits).apply { server("s1", script = answering("seat")) }
                fixture.once.dispatchProblem = Problem(ErrorKind.StoreUnavailable, "down")
                val problem = fixture.serve(fixture.request(key = "k")).problem
                problem shouldBe Problem(ErrorKind.StoreUnavailable, "down")
                fixture.backends.calls.shouldBeEmpty()
                fixture.once.log shouldContain "abandon"
                fixture.reservations.inFlight["s1"] shouldBe 0
            }
        }

        // Guards against reporting not-run for a request that another instance finds accepted in the store and runs.
        for (isReleased in listOf(true, false)) {
            test("a request that gets no place is reported as not-run only if its key is released: $isReleased") {
                runTest {
                    val fixture = PipelineFixture(this, keyedLimits).apply { server("s1", script = answering("seat")) }
                    fixture.reservations.limits["s1"] = 0
                    fixture.once.mayRunElsewhere = !isReleased
                    val problem = fixture.serve(fixture.request(key = "k", deadline = 3.seconds)).problem
                    problem.runState shouldBe if (isReleased) RunState.NOT_RUN else RunState.UNKNOWN
                    fixture.backends.calls.shouldBeEmpty()
                }
            }
        }

        val keyedFailures = listOf(
            Triple(refusing, "abandon", RunState.NOT_RUN),
            Triple(breaking, "unknown", RunState.UNKNOWN),
            Triple(answering("error", status = 500), "finish error", null),
        )
        for ((script, end, ran) in keyedFailures) {
            test("a non-idempotent call that ends with '$end' is never sent twice") {
                runTest {
                    val fixture = PipelineFixture(this, keyedLimits)
                    fixture.server("s1", script = script)
                    fixture.server("s2", script = script)
                    val answer = fixture.serve(fixture.request(key = "k"))
                    fixture.backends.calls shouldHaveSize 1
                    fixture.once.log.last() shouldBe end
                    ran?.let { answer.problem.runState shouldBe it }
                }
            }
        }

        test("a non-idempotent request runs to its end if its caller disconnects") {
            runTest {
                val fixture = PipelineFixture(this, keyedLimits)
                fixture.server("s1", script = answering("seat", after = 2.seconds))
                val caller = launch { fixture.serve(fixture.request(key = "k")) }
                delay(1.seconds)
                caller.cancel()
                delay(5.seconds)
                fixture.once.log.last() shouldBe "finish seat"
            }
        }

        test("a late non-idempotent request is reported as unknown and its answer is still stored") {
            runTest {
                val fixture = PipelineFixture(this, keyedLimits)
                fixture.server("s1", script = answering("seat", after = 5.seconds))
                val problem = fixture.serve(fixture.request(key = "k", deadline = 2.seconds)).problem
                problem shouldBe Problem(ErrorKind.OutcomeUnknown, "no answer within the deadline", RunState.UNKNOWN)
                delay(5.seconds)
                fixture.once.log.last() shouldBe "finish seat"
            }
        }

        test("a drain lets running requests complete and refuses those that only wait") {
            runTest {
                val fixture = PipelineFixture(this).apply { server("s1", script = answering("ok", after = 3.seconds)) }
                fixture.reservations.limits["s1"] = 1
                val running = List(2) { async { fixture.serve(fixture.request(deadline = 60.seconds)) } }
                delay(100.milliseconds)
                val drained = async { fixture.pipeline.drain(2.seconds) }
                delay(100.milliseconds)
                fixture.serve().problem.kind shouldBe ErrorKind.ShuttingDown
                drained.await()
                val answers = running.awaitAll()
                answers[0] shouldBe whole("ok")
                answers[1].problem shouldBe Problem(ErrorKind.ShuttingDown, "the entry instance is shutting down")
            }
        }
    })
