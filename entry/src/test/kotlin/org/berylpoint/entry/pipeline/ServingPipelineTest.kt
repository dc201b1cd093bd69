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
                val scene = PipelineScene(this).apply { server("s1", script = answering("ok")) }
                scene.serve() shouldBe whole("ok")
                scene.places.released shouldContainExactly listOf("s1" to AttemptOutcome.COMPLETED)
                scene.judge.evidence shouldContainExactly listOf("v1/seats" to EvidenceOutcome.GOOD)
            }
        }

        val refusals = listOf<Triple<ErrorKind, String, suspend (PipelineScene) -> List<ResponseEvent>>>(
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
                    val scene = PipelineScene(this).apply { server("s1", script = answering("ok")) }
                    val problem = ask(scene).problem
                    problem.kind shouldBe kind
                    problem.runState shouldBe RunState.NOT_RUN
                    scene.backends.calls.shouldBeEmpty()
                }
            }
        }

        test("a connection refused is tried elsewhere; guards against failing while other servers work") {
            runTest {
                val scene = PipelineScene(this)
                for (name in listOf("s1", "s2", "s3")) {
                    scene.server(name, script = if (name == "s3") answering("ok") else refusing)
                }
                scene.serve() shouldBe whole("ok")
                scene.places.inFlight.values.sum() shouldBe 0
                scene.judge.evidence.map { it.second } shouldContainExactly listOf(EvidenceOutcome.GOOD)
            }
        }

        test("connections refused everywhere are a true not-run") {
            runTest {
                val scene = PipelineScene(this).apply { server("s1", script = refusing) }
                val problem = scene.serve().problem
                problem.kind shouldBe ErrorKind.NoBackend
                problem.runState shouldBe RunState.NOT_RUN
            }
        }

        test("a break after the request was sent is never told as not-run, whatever is refused later") {
            runTest {
                val scene = PipelineScene(this).apply { server("s1", script = breaking) }
                scene.backends.scripts["s1"] = {
                    scene.judge.quarantined = true
                    emit(BackendEvent.Broken(sent = true, "connection reset"))
                }
                val problem = scene.serve().problem
                problem.kind shouldBe ErrorKind.Quarantined
                problem.runState shouldBe RunState.UNKNOWN
            }
        }

        test("half an answer is thrown away and the request retried; guards against joined halves") {
            runTest {
                val scene = PipelineScene(this)
                var calls = 0
                for (name in listOf("s1", "s2")) {
                    scene.server(name) { call -> if (calls++ == 0) breaking(call) else answering("ok")(call) }
                }
                scene.serve() shouldBe whole("ok")
            }
        }

        test("a server that refuses connections after a break counts as crashed by the request") {
            runTest {
                val scene = PipelineScene(this)
                scene.server("s1") {
                    scene.backends.down += "s1"
                    breaking(it)
                }
                scene.serve()
                scene.judge.crashes shouldContainExactly listOf("r1/1")
                scene.places.released.first() shouldBe ("s1" to AttemptOutcome.CRASHED)
                scene.judge.evidence.shouldBeEmpty()
            }
        }

        test("a leaving server that ends counts as nobody's crash; guards against quarantine by reclaims") {
            runTest {
                val scene = PipelineScene(this)
                val server = scene.server("s1") {
                    val listed = scene.servers.values.first { it.server.id.value == "s1" }
                    scene.servers[listed.server.id] = listed.copy(state = ListedServer.State.Leaving(0))
                    scene.backends.down += "s1"
                    breaking(it)
                }
                scene.server("s2", script = answering("ok"))
                scene.places.limits["s2"] = 0
                launch {
                    delay(1.seconds)
                    scene.places.limits["s2"] = 1
                }
                scene.serve() shouldBe whole("ok")
                scene.backends.calls.first().first shouldBe server.id.value
                scene.judge.crashes.shouldBeEmpty()
            }
        }

        test("an error status is retried elsewhere and passed on when no retry is left") {
            runTest {
                val scene = PipelineScene(this)
                for (name in listOf("s1", "s2", "s3", "s4", "s5", "s6")) {
                    scene.server(name, script = answering("broken", status = 500))
                }
                scene.serve() shouldBe whole("broken", status = 500)
                scene.backends.calls.map { it.first }.distinct() shouldHaveSize 4
            }
        }

        test("retries stay within the budget of 3 and a tenth of the first attempts; guards against retry storms") {
            runTest {
                val scene = PipelineScene(this, ClassLimits(maxInFlight = 1_000, queueLimit = 1_000))
                scene.server("s1", script = answering("broken", status = 500))
                scene.server("s2", script = answering("broken", status = 500))
                List(100) { async { scene.serve() } }.awaitAll()
                scene.backends.calls shouldHaveSize 100 + 3 + 10
            }
        }

        test("a request that waits for a place is served when one gets free") {
            runTest {
                val scene = PipelineScene(this).apply { server("s1", script = answering("ok", after = 1.seconds)) }
                scene.places.limits["s1"] = 1
                List(5) { async { scene.serve() } }.awaitAll().toSet() shouldBe setOf(whole("ok"))
                scene.places.inFlight["s1"] shouldBe 0
            }
        }

        test("a request that can't be done in time is refused early; guards against queues that only time out") {
            runTest {
                val scene = PipelineScene(this, ClassLimits(maxInFlight = 1, queueLimit = 100))
                scene.server("s1", script = answering("ok", after = 1.seconds))
                scene.places.limits["s1"] = 1
                repeat(12) { scene.serve() }
                val start = currentTime
                val early = ArrayList<Long>()
                List(20) {
                    async {
                        val answer = scene.serve(scene.request(deadline = 5.5.seconds))
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
                val scene = PipelineScene(this, ClassLimits(maxInFlight = 1, queueLimit = 2))
                scene.server("s1", script = answering("ok", after = 1.seconds))
                scene.places.limits["s1"] = 1
                val answers = List(5) { async { scene.serve() } }.awaitAll()
                answers.count { it.size == 1 && it.problem.kind == ErrorKind.Overloaded } shouldBe 2
            }
        }

        test("a late answer ends as an exceeded deadline that is not told as not-run") {
            runTest {
                val scene = PipelineScene(this).apply { server("s1", script = answering("ok", after = 60.seconds)) }
                val problem = scene.serve(scene.request(deadline = 2.seconds)).problem
                problem.kind shouldBe ErrorKind.DeadlineExceeded
                problem.runState shouldBe RunState.UNKNOWN
                scene.places.inFlight["s1"] shouldBe 1
                delay(60.seconds)
                scene.places.inFlight["s1"] shouldBe 0
            }
        }

        test("the remaining time is passed on to the server") {
            runTest {
                val scene = PipelineScene(this).apply { server("s1", script = answering("ok")) }
                scene.serve(scene.request(deadline = 3.seconds))
                scene.backends.calls.single().second.remaining shouldBe 3.seconds
            }
        }

        test("a version gets its share, and no more when the other version is full") {
            runTest {
                val scene = PipelineScene(this, ClassLimits(maxInFlight = 1_000, queueLimit = 1_000))
                val canary = scene.entry.copy(name = EntryName("e2"), version = VersionName("v2"))
                scene.judge.shares = mapOf(VersionName("v1") to 0.95, VersionName("v2") to 0.05)
                scene.server("old", script = answering("ok"))
                scene.server("new", of = canary, script = answering("ok"))
                scene.places.limits["old"] = 2
                List(400) { async { scene.serve(scene.request(deadline = 5.seconds)) } }.awaitAll()
                val byServer = scene.backends.calls.groupingBy { it.first }.eachCount()
                (byServer.getValue("new") <= 30) shouldBe true
            }
        }

        val onceLimits = ClassLimits(maxInFlight = 4, idempotent = false, maxRunMillis = 30_000)

        test("a non-idempotent request without a key is refused") {
            runTest {
                val scene = PipelineScene(this, onceLimits).apply { server("s1", script = answering("ok")) }
                scene.serve().problem.kind shouldBe ErrorKind.KeyRequired
            }
        }

        test("a non-idempotent request is recorded before it is sent and stored after it") {
            runTest {
                val scene = PipelineScene(this, onceLimits).apply { server("s1", script = answering("seat")) }
                scene.serve(scene.request(key = "k")) shouldBe whole("seat")
                scene.once.log shouldContainExactly listOf("begin", "dispatch s1", "finish seat")
                scene.backends.calls.single().second.idempotencyKey shouldBe "k"
            }
        }

        test("a stored answer is given to a repeat without a call") {
            runTest {
                val scene = PipelineScene(this, onceLimits).apply { server("s1", script = answering("seat")) }
                scene.once.decision = { OnceDecision.Answered(StoredAnswer(201, "text/plain", "seat 4")) }
                scene.serve(scene.request(key = "k")) shouldBe whole("seat 4", status = 201)
                scene.backends.calls.shouldBeEmpty()
            }
        }

        test("a dispatch that can't be recorded is not sent; guards against a run without a record") {
            runTest {
                val scene = PipelineScene(this, onceLimits).apply { server("s1", script = answering("seat")) }
                scene.once.dispatchProblem = Problem(ErrorKind.StoreUnavailable, "down")
                val problem = scene.serve(scene.request(key = "k")).problem
                problem shouldBe Problem(ErrorKind.StoreUnavailable, "down")
                scene.backends.calls.shouldBeEmpty()
                scene.once.log shouldContain "abandon"
                scene.places.inFlight["s1"] shouldBe 0
            }
        }

        // Guards against a not-run for a request that a survivor finds accepted and runs.
        for (isReleased in listOf(true, false)) {
            test("a request that gets no place is answered not-run only if its key is released: $isReleased") {
                runTest {
                    val scene = PipelineScene(this, onceLimits).apply { server("s1", script = answering("seat")) }
                    scene.places.limits["s1"] = 0
                    scene.once.mayRunElsewhere = !isReleased
                    val problem = scene.serve(scene.request(key = "k", deadline = 3.seconds)).problem
                    problem.runState shouldBe if (isReleased) RunState.NOT_RUN else RunState.UNKNOWN
                    scene.backends.calls.shouldBeEmpty()
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
                    val scene = PipelineScene(this, onceLimits)
                    scene.server("s1", script = script)
                    scene.server("s2", script = script)
                    val answer = scene.serve(scene.request(key = "k"))
                    scene.backends.calls shouldHaveSize 1
                    scene.once.log.last() shouldBe end
                    ran?.let { answer.problem.runState shouldBe it }
                }
            }
        }

        test("a non-idempotent request ends although its caller disconnects") {
            runTest {
                val scene = PipelineScene(this, onceLimits)
                scene.server("s1", script = answering("seat", after = 2.seconds))
                val caller = launch { scene.serve(scene.request(key = "k")) }
                delay(1.seconds)
                caller.cancel()
                delay(5.seconds)
                scene.once.log.last() shouldBe "finish seat"
            }
        }

        test("a non-idempotent request that is late is told as unknown and stored all the same") {
            runTest {
                val scene = PipelineScene(this, onceLimits)
                scene.server("s1", script = answering("seat", after = 5.seconds))
                val problem = scene.serve(scene.request(key = "k", deadline = 2.seconds)).problem
                problem shouldBe Problem(ErrorKind.OutcomeUnknown, "no answer within the deadline", RunState.UNKNOWN)
                delay(5.seconds)
                scene.once.log.last() shouldBe "finish seat"
            }
        }

        test("a drain lets requests end and hands over those that only wait") {
            runTest {
                val scene = PipelineScene(this).apply { server("s1", script = answering("ok", after = 3.seconds)) }
                scene.places.limits["s1"] = 1
                val running = List(2) { async { scene.serve(scene.request(deadline = 60.seconds)) } }
                delay(100.milliseconds)
                val drained = async { scene.pipeline.drain(2.seconds) }
                delay(100.milliseconds)
                scene.serve().problem.kind shouldBe ErrorKind.ShuttingDown
                drained.await()
                val answers = running.awaitAll()
                answers[0] shouldBe whole("ok")
                answers[1].problem shouldBe Problem(ErrorKind.ShuttingDown, "the entry instance is shutting down")
            }
        }
    })
