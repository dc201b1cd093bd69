package org.berylpoint.testkit.proofs

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.InstanceId
import org.berylpoint.model.RunState
import org.berylpoint.testkit.standin.Fault
import org.berylpoint.testkit.standin.StandInCall
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** P6, P7 and P1 for non-idempotent requests, in virtual time with fixed seeds. */
class OnceProofTest :
    FunSpec({
        fun proof(block: suspend TestScope.(OnceWorld) -> Unit) = runTest(timeout = 2.minutes) {
            val world = OnceWorld(this, seed = 7)
            repeat(3) { world.node("n$it") }
            delay(2.seconds)
            block(world)
            world.violations().shouldBeEmpty()
        }

        fun OnceWorld.answersOf(key: String): List<Told> = told[key].orEmpty()

        fun OnceWorld.refusalOf(key: String) = answersOf(key).single().shouldBeInstanceOf<Told.Refusal>().problem

        test("P7: a repeat gets the stored answer, on the same instance and on another") {
            proof { world ->
                world.nodes[0].submit("k").join()
                world.nodes[0].submit("k").join()
                world.nodes[2].submit("k").join()
                world.answersOf("k") shouldBe List(3) { Told.Answer("seat for k, run 1") }
                world.states() shouldBe mapOf("k" to "Done")
            }
        }

        test("P7: callers that race with one key at three instances run it once and all get its answer") {
            proof { world ->
                val jobs = world.nodes.flatMap { node -> List(2) { node.submit("k") } }
                jobs.forEach { it.join() }
                world.runs shouldBe mapOf("k" to 1)
                world.answersOf("k") shouldBe List(6) { Told.Answer("seat for k, run 1") }
            }
        }

        test("P7: a key that is used again with another body is refused and does not run") {
            proof { world ->
                world.nodes[0].submit("k").join()
                world.nodes[1].submit("k", body = "book another").join()
                world.answersOf("k").last().shouldBeInstanceOf<Told.Refusal>().problem.kind shouldBe ErrorKind.KeyReused
                world.runs shouldBe mapOf("k" to 1)
            }
        }

        test("P6: with the table down the request is refused as not-run and does not run afterwards") {
            proof { world ->
                world.table.faults.all = Fault.DOWN
                world.nodes[0].submit("k").join()
                world.refusalOf("k").kind shouldBe ErrorKind.StoreUnavailable
                world.refusalOf("k").runState shouldBe RunState.NOT_RUN
                world.table.faults.clear()
                delay(2.minutes)
                world.runs.shouldBeEmpty()
                world.states().shouldBeEmpty()
            }
        }

        test("P6: a silent table gives unknown when the accepting write may arrive late and its holder is killed") {
            proof { world ->
                // Longer than the client's timeout: each write takes effect after its caller gave up.
                world.table.faults.all = Fault.slow(6.seconds)
                world.nodes[0].submit("k", deadline = 5.seconds).join()
                world.refusalOf("k").runState shouldBe RunState.UNKNOWN
                world.nodes[0].machine.kill()
                delay(20.seconds)
                world.table.faults.clear()
                delay(2.minutes)
                // The record may have been accepted by then, so the survivor may run it: the caller was told unknown.
                (world.runs["k"] ?: 0) shouldBe world.states().count { it.value == "Done" }
            }
        }

        listOf(5.seconds, 30.seconds).forEach { deadline ->
            test("P6: a request whose accepting write stays unanswered for $deadline is withdrawn afterwards") {
                proof { world ->
                    world.table.faults.all = Fault.CALLS_LOST
                    world.nodes[0].submit("k", deadline = deadline).join()
                    world.refusalOf("k").runState shouldBe RunState.UNKNOWN
                    world.table.faults.clear()
                    delay(2.minutes)
                    world.runs.shouldBeEmpty()
                    world.states() shouldBe mapOf("k" to "Released")
                    world.nodes[1].submit("k").join()
                    world.answersOf("k").last() shouldBe Told.Answer("seat for k, run 1")
                }
            }
        }

        test("P7: with a slow table requests are answered once") {
            proof { world ->
                world.table.faults.all = Fault.slow(900.milliseconds)
                val jobs = (1..20).map { world.nodes[it % 3].submit("k$it") }
                jobs.forEach { it.join() }
                world.told.values.flatten().filterIsInstance<Told.Refusal>().shouldBeEmpty()
                world.runs.values.sum() shouldBe 20
            }
        }

        listOf("accepted", "dispatched", "done").forEachIndexed { step, name ->
            test("P7: the answer to the write of `$name` is lost after it took effect") {
                proof { world ->
                    var writes = 0
                    world.table.faults.rule = { call ->
                        if (call.isWrite && writes++ == step) Fault.ANSWERS_LOST else Fault.NONE
                    }
                    world.nodes[0].submit("k").join()
                    delay(10.seconds)
                    world.answersOf("k") shouldContainExactly listOf(Told.Answer("seat for k, run 1"))
                    world.states() shouldBe mapOf("k" to "Done")
                }
            }
        }

        test("P7: every second answer of the table is lost") {
            proof { world ->
                var calls = 0
                world.table.faults.rule = { if (++calls % 2 == 0) Fault.ANSWERS_LOST else Fault.NONE }
                val jobs = (1..6).map { world.nodes[it % 3].submit("k$it", deadline = 60.seconds) }
                jobs.forEach { it.join() }
                world.table.faults.clear()
                delay(1.minutes)
                world.runs.values.all { it == 1 } shouldBe true
            }
        }

        test("P7 and P1: the holder is killed after the accept; a survivor runs the request") {
            proof { world ->
                world.nodes[0].beforeDispatch = { awaitCancellation() }
                world.nodes[0].submit("k")
                delay(1.seconds)
                world.states() shouldBe mapOf("k" to "Accepted")
                world.nodes[0].machine.kill()
                delay(10.seconds)
                world.runs shouldBe mapOf("k" to 1)
                world.states() shouldBe mapOf("k" to "Done")
                world.nodes[1].submit("k").join()
                world.answersOf("k") shouldBe listOf(Told.Answer("seat for k, run 1"))
            }
        }

        test("P7: the holder is killed after the accept while the table is down; it is run when the table is back") {
            proof { world ->
                world.nodes[0].beforeDispatch = { awaitCancellation() }
                world.nodes[0].submit("k")
                delay(1.seconds)
                world.table.faults.all = Fault.DOWN
                world.nodes[0].machine.kill()
                delay(30.seconds)
                world.runs.shouldBeEmpty()
                world.table.faults.clear()
                delay(10.seconds)
                world.runs shouldBe mapOf("k" to 1)
            }
        }

        test("P7: holder and the survivor that took over are killed in turn; the third instance runs the request") {
            proof { world ->
                world.nodes.forEach { it.beforeDispatch = { awaitCancellation() } }
                world.nodes[0].submit("k")
                delay(1.seconds)
                world.nodes[0].machine.kill()
                delay(5.seconds)
                val holder = world.nodes.drop(1).single { it.registry.keysAwaitingDispatch.isNotEmpty() }
                val last = world.nodes.drop(1).single { it != holder }
                last.beforeDispatch = {}
                holder.machine.kill()
                delay(10.seconds)
                world.runs shouldBe mapOf("k" to 1)
            }
        }

        test("P7: all instances end after the accept; their successor finds and runs the request") {
            proof { world ->
                world.nodes[0].beforeDispatch = { awaitCancellation() }
                world.nodes[0].submit("k")
                delay(1.seconds)
                world.nodes.forEach { it.machine.kill() }
                delay(5.seconds)
                world.node("successor")
                delay(2.minutes)
                world.runs shouldBe mapOf("k" to 1)
            }
        }

        test("P7: the holder is killed after the dispatch was recorded; the request never runs again") {
            proof { world ->
                world.nodes[0].beforeSend = { awaitCancellation() }
                world.nodes[0].submit("k")
                delay(1.seconds)
                world.states() shouldBe mapOf("k" to "Dispatched")
                world.nodes[0].machine.kill()
                delay(1.minutes)
                world.runs.shouldBeEmpty()
                world.nodes[1].submit("k", deadline = 5.seconds).join()
                world.refusalOf("k").kind shouldBe ErrorKind.OutcomeUnknown
                world.refusalOf("k").runState shouldBe RunState.UNKNOWN
            }
        }

        test("P7: the holder is frozen before the dispatch and thaws after 30 s; the request runs once") {
            proof { world ->
                world.nodes[0].beforeDispatch = { delay(1.seconds) }
                world.nodes[0].submit("k")
                delay(500.milliseconds)
                world.nodes[0].machine.pause()
                world.nodes[1].submit("k", deadline = 5.seconds).join()
                world.refusalOf("k").runState shouldBe RunState.UNKNOWN
                delay(25.seconds)
                world.nodes[0].machine.resume()
                delay(10.seconds)
                world.runs shouldBe mapOf("k" to 1)
            }
        }

        test(
            "P7: a frozen holder that was declared gone thaws after its request was taken over; it does not run twice",
        ) {
            proof { world ->
                world.nodes[0].beforeDispatch = { delay(1.seconds) }
                world.nodes[0].submit("k")
                delay(500.milliseconds)
                world.nodes[0].machine.pause()
                world.nodes.drop(1).forEach { it.membership.markDeparted(world.nodes[0].id) }
                delay(20.seconds)
                world.runs shouldBe mapOf("k" to 1)
                world.nodes[0].machine.resume()
                delay(10.seconds)
                world.runs shouldBe mapOf("k" to 1)
                world.refusalOf("k").runState shouldBe RunState.UNKNOWN
            }
        }

        test("P7: a holder frozen between recorded dispatch and sending thaws after its death was declared") {
            proof { world ->
                world.nodes[0].beforeSend = { delay(1.seconds) }
                world.nodes[0].submit("k")
                delay(500.milliseconds)
                world.nodes[0].machine.pause()
                world.nodes.drop(1).forEach { it.membership.markDeparted(world.nodes[0].id) }
                delay(20.seconds)
                world.nodes[1].submit("k", deadline = 2.seconds).join()
                world.nodes[0].machine.resume()
                delay(10.seconds)
                world.runs shouldBe mapOf("k" to 1)
                world.states() shouldBe mapOf("k" to "Done")
            }
        }

        test("P1 and P9: a stopping instance hands its accepted requests over and they run once") {
            proof { world ->
                world.nodes[0].beforeDispatch = { awaitCancellation() }
                repeat(5) { world.nodes[0].submit("k$it") }
                delay(1.seconds)
                world.nodes[0].registry.handOver()
                world.nodes[0].machine.kill()
                delay(5.seconds)
                world.runs shouldBe (0..4).associate { "k$it" to 1 }
            }
        }

        test("P7: a domain cut from the platform but not from its neighbours relays through them") {
            proof { world ->
                val cut = world.node("cut", "dar-eb")
                delay(3.seconds)
                world.table.faults[cut.id] = Fault.CALLS_LOST
                delay(10.seconds)
                val before = world.table.faults.count("transact", cut.id)
                val jobs = (1..10).map { cut.submit("k$it") }
                jobs.forEach { it.join() }
                world.told.values.flatten().filterIsInstance<Told.Refusal>().shouldBeEmpty()
                world.runs.size shouldBe 10
                // At most the attempt at the direct path that failed.
                (world.table.faults.count("transact", cut.id) - before <= 2) shouldBe true
            }
        }

        test("P6: a domain cut from the platform and from all neighbours refuses as not-run at once") {
            proof { world ->
                val cut = world.node("cut", "dar-eb")
                delay(3.seconds)
                world.table.faults[cut.id] = Fault.DOWN
                world.rig.links.isolate(cut.machine.instance.failureDomain)
                delay(10.seconds)
                cut.submit("k").join()
                world.refusalOf("k").kind shouldBe ErrorKind.StoreUnavailable
                world.refusalOf("k").runState shouldBe RunState.NOT_RUN
            }
        }

        test("P7: the relaying neighbour is killed in mid-call; the outcome is found through another") {
            proof { world ->
                val cut = world.node("cut", "dar-eb")
                delay(3.seconds)
                world.table.faults[cut.id] = Fault.DOWN
                delay(5.seconds)
                world.table.faults.rule = { call: StandInCall ->
                    if (call.isWrite && call.caller == world.nodes[0].id) Fault.ANSWERS_LOST else Fault.NONE
                }
                val jobs = (1..10).map { cut.submit("k$it", deadline = 60.seconds) }
                delay(500.milliseconds)
                world.nodes[0].machine.kill()
                jobs.forEach { it.join() }
                world.runs.values.toSet() shouldBe setOf(1)
                world.runs.size shouldBe 10
            }
        }

        test("in a large failure domain two instances write for all the others, and hand on when they die") {
            proof { world ->
                val nodes = (1..20).map { world.node("m$it", "dar-eb") }
                delay(10.seconds)

                suspend fun writersOf(round: Int): Set<InstanceId?> {
                    val before = world.table.faults.calls
                    nodes.filter { it.machine.isAlive }.mapIndexed { i, node -> node.submit("k$round-$i") }
                        .forEach { it.join() }
                    val after = world.table.faults.calls
                    return after.filter { (call, count) -> call.isWrite && count > (before[call] ?: 0) }
                        .map { it.key.caller }.toSet()
                }
                val first = writersOf(1)
                first.size shouldBe 2
                nodes.filter { it.id in first }.forEach { it.machine.kill() }
                delay(10.seconds)
                val second = writersOf(2)
                second.size shouldBe 2
                (first intersect second).shouldBeEmpty()
                world.runs.size shouldBe 20 + 18
            }
        }

        test("steps of 300 requests that arrive together share transactions, at most 30 a second per instance") {
            proof { world ->
                val before = world.table.transactions
                val start = world.rig.time.markNow()
                val jobs = (1..300).map { world.nodes[0].submit("k$it") }
                jobs.forEach { it.join() }
                val count = world.table.transactions - before
                val most = start.elapsedNow() / 1.seconds * 30 + 2
                println("group commit: 300 requests in ${start.elapsedNow()} with $count transactions")
                (count <= most) shouldBe true
                (count < 300) shouldBe true
            }
        }
    })
