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
        test("an answer is passed on whole; guards against lost places and missing evidence") {
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
            Triple(ErrorKind.UnknownClass, "another class") {
                it.serve(it.request().copy(requestClass = RequestClass("x")))
            },
            Triple(ErrorKind.UnknownClass, "a plain class asked as a model") {
                it.serve(it.request(kind = ServiceKind.MODEL))
            },
            Triple(ErrorKind.DeadlineExceeded, "a deadline that has passed") {
                it.serve(it.request(deadline = (-1).seconds))
            },
            Triple(ErrorKind.ShuttingDown, "a drain") {
                it.pipeline.drain(1.seconds)
                it.serve()
            },
            Triple(ErrorKind.Quarantined, "a quarantined body") {
                it.judge.quarantined = true
                it.serve()
            },
            Triple(ErrorKind.NoBackend, "a class without servers") {
                it.servers.clear()
                it.serve()
            },
        )
        for ((kind, case, ask) in refusals) {
            test("$case is refused as $kind and not-run; guards against a call that still reaches a server") {
                runTest {
                    val fixture = PipelineFixture(this).apply { server("s1", script = answering("ok")) }
                    val problem = ask(fixture).problem
                    problem.kind shouldBe kind
                    problem.runState shouldBe RunState.NOT_RUN
                    fixture.backends.calls.shouldBeEmpty()
                }
            }
        }

        test("a connection refused is tried elsewhere; guards against failing while other servers work") {
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

        test("connections refused everywhere are a true not-run") {
            runTest {
                val fixture = PipelineFixture(this).apply { server("s1", script = refusing) }
                val problem = fixture.serve().problem
                problem.kind shouldBe ErrorKind.NoBackend
                problem.runState shouldBe RunState.NOT_RUN
            }
        }

        test("a break after the request was sent is never told as not-run, whatever is refused later") {
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

        test("half an answer is thrown away and the request retried; guards against joined halves") {
            runTest {
                val fixture = PipelineFixture(this)
                var calls = 0
                for (name in listOf("s1", "s2")) {
                    fixture.server(name) { call -> if (calls++ == 0) breaking(call) else answering("ok")(call) }
                }
                fixture.serve() shouldBe whole("ok")
            }
        }

        test("a server that refuses connections after a break counts as crashed by the request") {
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

        test("a leaving server that ends counts as nobody's crash; guards against quarantine by reclaims") {
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

        test("an error status is retried elsewhere and passed on when no retry is left") {
            runTest {
                val fixture = PipelineFixture(this)
                for (name in listOf("s1", "s2", "s3", "s4", "s5", "s6")) {
                    fixture.server(name, script = answering("broken", status = 500))
                }
                fixture.serve() shouldBe whole("broken", status = 500)
                fixture.backends.calls.map { it.first }.distinct() shouldHaveSize 4
            }
        }

        test("retries stay within the budget of 3 and a tenth of the first attempts; guards against retry storms") {
            runTest {
                val fixture = PipelineFixture(this, ClassLimits(maxInFlight = 1_000, queueLimit = 1_000))
                fixture.server("s1", script = answering("broken", status = 500))
                fixture.server("s2", script = answering("broken", status = 500))
                List(100) { async { fixture.serve() } }.awaitAll()
                fixture.backends.calls shouldHaveSize 100 + 3 + 10
            }
        }

        test("a request that waits for a place is served when one gets free") {
            runTest {
                val fixture = PipelineFixture(this).apply { server("s1", script = answering("ok", after = 1.seconds)) }
                fixture.reservations.limits["s1"] = 1
                List(5) { async { fixture.serve() } }.awaitAll().toSet() shouldBe setOf(whole("ok"))
                fixture.reservations.inFlight["s1"] shouldBe 0
            }
        }

        test("a request that can't be done in time is refused early; guards against queues that only time out") {
            runTest {
                val fixture = PipelineFixture(this, ClassLimits(maxInFlight = 1, queueLimit = 100))
                fixture.server("s1", script = answering("ok", after = 1.seconds))
                fixture.reservations.limits["s1"] = 1
                repeat(12) { fixture.serve() }
                val start = currentTime
                val early = ArrayList<Long>()
                List(20) {
                    async {
                        val answer = fixture.serve(fixture.request(deadline = 5.5.seconds))
                        if (answer.size == 1) early += currentTime - start
                        answer
                    }
                }.awaitAll().forEach { answer ->
                    if (answer.size == 1) answer.problem.runState shouldBe RunState.NOT_RUN
                }
                // Those that can't be served are told a run time before their deadline at the latest.
                (early.max() <= 4_600) shouldBe true
            }
        }

        test("the waiting requests of a class are bounded") {
            runTest {
                val fixture = PipelineFixture(this, ClassLimits(maxInFlight = 1, queueLimit = 2))
                fixture.server("s1", script = answering("ok", after = 1.seconds))
                fixture.reservations.limits["s1"] = 1
                val answers = List(5) { async { fixture.serve() } }.awaitAll()
                answers.count { it.size == 1 && it.problem.kind == ErrorKind.Overloaded } shouldBe 2
            }
        }

        test("a late answer ends as an exceeded deadline that is not told as not-run") {
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

        test("the remaining time is passed on to the server") {
            runTest {
                val fixture = PipelineFixture(this).apply { server("s1", script = answering("ok")) }
                fixture.serve(fixture.request(deadline = 3.seconds))
                fixture.backends.calls.single().second.remaining shouldBe 3.seconds
            }
        }

        test("a version gets its share, and no more when the other version is full") {
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

        val onceLimits = ClassLimits(maxInFlight = 4, idempotent = false, maxRunMillis = 30_000)

        test("a non-idempotent request without a key is refused") {
            runTest {
                val fixture = PipelineFixture(this, onceLimits).apply { server("s1", script = answering("ok")) }
                fixture.serve().problem.kind shouldBe ErrorKind.KeyRequired
            }
        }

        test("a non-idempotent request is recorded before it is sent and stored after it") {
            runTest {
                val fixture = PipelineFixture(this, onceLimits).apply { server("s1", script = answering("seat")) }
                fixture.serve(fixture.request(key = "k")) shouldBe whole("seat")
                fixture.once.log shouldContainExactly listOf("begin", "dispatch s1", "finish seat")
                fixture.backends.calls.single().second.idempotencyKey shouldBe "k"
            }
        }

        test("a stored answer is given to a repeat without a call") {
            runTest {
                val fixture = PipelineFixture(this, onceLimits).apply { server("s1", script = answering("seat")) }
                fixture.once.decision = { OnceDecision.Answered(StoredAnswer(201, "text/plain", "seat 4")) }
                fixture.serve(fixture.request(key = "k")) shouldBe whole("seat 4", status = 201)
                fixture.backends.calls.shouldBeEmpty()
            }
        }

        test("a dispatch that can't be recorded is not sent; guards against a run without a record") {
            runTest {
                val fixture = PipelineFixture(this, onceLimits).apply { server("s1", script = answering("seat")) }
                fixture.once.dispatchProblem = Problem(ErrorKind.StoreUnavailable, "down")
                val problem = fixture.serve(fixture.request(key = "k")).problem
                problem shouldBe Problem(ErrorKind.StoreUnavailable, "down")
                fixture.backends.calls.shouldBeEmpty()
                fixture.once.log shouldContain "abandon"
                fixture.reservations.inFlight["s1"] shouldBe 0
            }
        }

        // Guards against a not-run for a request that a survivor finds accepted and runs.
        for (isReleased in listOf(true, false)) {
            test("a request that gets no place is answered not-run only if its key is released: $isReleased") {
                runTest {
                    val fixture = PipelineFixture(this, onceLimits).apply { server("s1", script = answering("seat")) }
                    fixture.reservations.limits["s1"] = 0
                    fixture.once.mayRunElsewhere = !isReleased
                    val problem = fixture.serve(fixture.request(key = "k", deadline = 3.seconds)).problem
                    problem.runState shouldBe if (isReleased) RunState.NOT_RUN else RunState.UNKNOWN
                    fixture.backends.calls.shouldBeEmpty()
                }
            }
        }

        val onceFailures = listOf(
            Triple(refusing, "abandon", RunState.NOT_RUN),
            Triple(breaking, "unknown", RunState.UNKNOWN),
            Triple(answering("error", status = 500), "finish error", null),
        )
        for ((script, end, ran) in onceFailures) {
            test("a non-idempotent call that ends with '$end' is never sent twice") {
                runTest {
                    val fixture = PipelineFixture(this, onceLimits)
                    fixture.server("s1", script = script)
                    fixture.server("s2", script = script)
                    val answer = fixture.serve(fixture.request(key = "k"))
                    fixture.backends.calls shouldHaveSize 1
                    fixture.once.log.last() shouldBe end
                    ran?.let { answer.problem.runState shouldBe it }
                }
            }
        }

        test("a non-idempotent request ends although its caller disconnects") {
            runTest {
                val fixture = PipelineFixture(this, onceLimits)
                fixture.server("s1", script = answering("seat", after = 2.seconds))
                val caller = launch { fixture.serve(fixture.request(key = "k")) }
                delay(1.seconds)
                caller.cancel()
                delay(5.seconds)
                fixture.once.log.last() shouldBe "finish seat"
            }
        }

        test("a non-idempotent request that is late is told as unknown and stored all the same") {
            runTest {
                val fixture = PipelineFixture(this, onceLimits)
                fixture.server("s1", script = answering("seat", after = 5.seconds))
                val problem = fixture.serve(fixture.request(key = "k", deadline = 2.seconds)).problem
                problem shouldBe Problem(ErrorKind.OutcomeUnknown, "no answer within the deadline", RunState.UNKNOWN)
                delay(5.seconds)
                fixture.once.log.last() shouldBe "finish seat"
            }
        }

        test("a drain lets requests end and hands over those that only wait") {
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
