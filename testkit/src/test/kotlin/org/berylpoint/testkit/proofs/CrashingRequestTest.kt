package org.berylpoint.testkit.proofs

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.berylpoint.model.Fingerprint
import org.berylpoint.model.VersionMove.State
import org.berylpoint.testkit.standin.CallerEvent
import org.berylpoint.testkit.standin.FakePlainService
import org.berylpoint.testkit.standin.Fault
import org.berylpoint.testkit.standin.ServerEvent
import org.berylpoint.testkit.standin.ServerFault
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** A request that crashes every server which runs it may crash two, whichever instances its caller sends it to. */
class CrashingRequestTest :
    FunSpec({
        for (seed in 1..5) {
            test("a request sent again and again to any instance crashes two servers and is refused (seed $seed)") {
                runTest(timeout = 1.minutes) {
                    val scene = scene(seed)
                    scene.startTraffic()
                    delay(2.seconds)
                    val random = Random(seed)
                    repeat(20) {
                        launch { scene.nodes.random(random).send("again-$it") }
                        delay(random.nextLong(200, 800).milliseconds)
                    }
                    delay(10.seconds)
                    scene.crashes() shouldHaveSize 2
                    scene.lastProblem() shouldBe "Quarantined"
                    scene.table.content.keys.map { it.partition to it.sort } shouldContain ("quarantine" to POISON)
                    scene.check().violations.shouldBeEmpty()
                }
            }

            test("requests that ran beside a crashing one are not refused for its crashes (seed $seed)") {
                runTest(timeout = 1.minutes) {
                    val scene = scene(seed)
                    scene.startTraffic()
                    delay(2.seconds)
                    repeat(10) {
                        launch { repeat(3) { send -> scene.nodes.random(Random(it)).send("$send", "$POISON$it") } }
                        delay(5.seconds)
                    }
                    val refused = scene.problems().filter { it.kind == "Quarantined" }.map { it.call }.distinct()
                    val beside = scene.journal.events().filterIsInstance<ServerEvent.Crashed>().count { !it.caused }
                    println("seed $seed: ${refused.size} calls refused, $beside calls ran beside a crashing one")
                    refused.filterNot { it.startsWith(POISON) }.shouldBeEmpty()
                }
            }

            test("a request sent to all instances at once after its first crash crashes two servers (seed $seed)") {
                runTest(timeout = 1.minutes) {
                    val scene = scene(seed)
                    delay(2.seconds)
                    scene.nodes.first().judge.permitAttempt(Fingerprint(POISON), "first")
                    scene.nodes.first().judge.recordCrash(Fingerprint(POISON), "first")
                    delay(100.milliseconds)
                    scene.nodes.forEachIndexed { i, node -> launch { node.send("all-$i") } }
                    delay(20.seconds)
                    scene.crashes() shouldHaveSize 1
                    scene.problems().map { it.kind }.distinct() shouldBe listOf("Quarantined")
                    scene.check().violations.shouldBeEmpty()
                }
            }
        }

        test("a crashing request blames no version during a move") {
            runTest(timeout = 2.minutes) {
                val scene = scene(1)
                scene.startTraffic()
                delay(2.seconds)
                scene.move(2.minutes)
                // Ten requests, each of which crashes two servers of whichever version.
                repeat(10) { i ->
                    delay(5.seconds)
                    launch { repeat(4) { scene.nodes.random(Random(i)).send("$it", "$POISON$i") } }
                }
                scene.awaitEnd(2.minutes)
                scene.move.state shouldBe State.DONE
                scene.crashes().groupBy { it.served.call }.values.forEach { it.size shouldBeLessThanOrEqual 2 }
            }
        }

        test("a domain that is cut off crashes at most two servers of its own accord, and the others two") {
            runTest(timeout = 1.minutes) {
                val scene = scene(1)
                delay(5.seconds)
                scene.rig.links.isolate(scene.domains[0])
                scene.table.faults.all = Fault.DOWN
                delay(5.seconds)
                repeat(6) {
                    scene.nodes.forEachIndexed { i, node -> node.send("cut-$it-$i") }
                }
                val isolated = scene.nodes.filter { it.machine.instance.failureDomain == scene.domains[0] }
                    .map { it.machine.instance.id.value }
                val (there, elsewhere) = scene.crashes().partition { crash ->
                    isolated.any { crash.served.request.startsWith("$it-") }
                }
                there.size shouldBeLessThanOrEqual 2
                elsewhere.size shouldBeLessThanOrEqual 2
                scene.rig.links.heal()
                scene.table.faults.clear()
                delay(10.seconds)
                val before = scene.crashes().size
                scene.nodes.forEachIndexed { i, node -> node.send("healed-$i") }
                scene.crashes() shouldHaveSize before
            }
        }

        test("an instance that starts after the crashes refuses the request") {
            runTest(timeout = 1.minutes) {
                val scene = scene(1)
                delay(2.seconds)
                repeat(6) { scene.nodes[it].send("before-$it") }
                scene.crashes() shouldHaveSize 2
                scene.nodes.forEach { it.machine.kill() }
                delay(1.seconds)
                scene.restartNode(0)
                delay(2.seconds)
                scene.nodes.last().send("after")
                scene.crashes() shouldHaveSize 2
                scene.lastProblem() shouldBe "Quarantined"
            }
        }
    }) {
    private companion object {
        const val POISON = "poison"

        /** A scene whose servers crash on the request and start again after 3 s. */
        fun TestScope.scene(seed: Int): JudgementScene {
            val scene = JudgementScene(this, seed)
            scene.backends.all.values.forEach { it.switchOn(ServerFault.CrashOnBody(POISON)) }
            scene.restartCrashed(3.seconds)
            return scene
        }

        suspend fun JudgementScene.Node.send(send: String, call: String = POISON) =
            serve(call, JudgementScene.ROUTE, FakePlainService.request(call, "seat"), send)

        fun JudgementScene.crashes() = journal.events().filterIsInstance<ServerEvent.Crashed>().filter { it.caused }

        fun JudgementScene.problems() = journal.events().filterIsInstance<CallerEvent.Problem>()

        fun JudgementScene.lastProblem() = problems().last { it.call == POISON }.kind
    }
}
