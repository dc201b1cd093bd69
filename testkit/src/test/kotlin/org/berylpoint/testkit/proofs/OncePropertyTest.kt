package org.berylpoint.testkit.proofs

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.berylpoint.testkit.standin.Fault
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * P6 and P7 over random schedules: three instances, four keys, and at each step a request, a crash with a restart, a
 * freeze, a stop, an outage, lost answers, a slow table or a cut link.
 */
class OncePropertyTest :
    FunSpec({
        class Schedule(private val world: OnceWorld, private val random: Random) {
            val log = mutableListOf<String>()
            private var started = 0
            private val paused = mutableSetOf<OnceNode>()

            private val alive get() = world.nodes.filter { it.machine.isAlive }

            fun startNode() {
                val node = world.node("n${started++}", domains.random(random))
                node.runTime = random.nextInt(10, 3_000).milliseconds
                node.beforeDispatch = { pauseOrStop() }
                node.beforeSend = { if (random.nextInt(4) == 0) delay(random.nextInt(1, 2_000).milliseconds) }
            }

            private suspend fun pauseOrStop() = when (random.nextInt(8)) {
                0 -> awaitCancellation()
                in 1..3 -> delay(random.nextInt(1, 4_000).milliseconds)
                else -> Unit
            }

            suspend fun step() {
                val node = alive.random(random)
                val action = actions.random(random)
                log += "$action at ${node.id}"
                when (action) {
                    "submit" -> {
                        val deadline = random.nextInt(500, 20_000).milliseconds
                        repeat(random.nextInt(1, 4)) { node.submit("k${random.nextInt(4)}", deadline = deadline) }
                    }
                    "kill" -> {
                        node.machine.kill()
                        startNode()
                    }
                    "freeze" -> if (paused.add(node)) node.machine.pause()
                    "thaw" -> thaw()
                    "declare gone" -> alive.filter { it != node }.forEach { it.membership.markDeparted(node.id) }
                    "hand over" -> node.registry.handOver()
                    "fault for all" -> world.table.faults.all = faults.random(random)
                    "fault for one" -> world.table.faults[node.id] = faults.random(random)
                    "lose answers" -> world.table.faults.loseNextAnswers(random.nextInt(1, 4))
                    "repair" -> world.table.faults.clear()
                    "cut" -> world.rig.links.cut(node.id, alive.random(random).id)
                    "heal" -> world.rig.links.heal()
                }
                delay(random.nextInt(1, 3_000).milliseconds)
            }

            private fun thaw() {
                paused.forEach { it.machine.resume() }
                paused.clear()
            }

            /** Ends all faults. Requests that their instance would hold for ever end with it. */
            suspend fun settle() {
                world.table.faults.clear()
                world.rig.links.heal()
                thaw()
                world.nodes.forEach { it.beforeDispatch = {} }
                delay(30.seconds)
                val stuck = alive
                startNode()
                delay(2.seconds)
                stuck.forEach { it.machine.kill() }
                world.nodes.last().beforeDispatch = {}
                delay(3.minutes)
            }
        }

        val totals = Totals()

        test("each key runs at most once and no accepted request is lost, over 150 random schedules") {
            checkAll(PropTestConfig(seed = 20_260_704, iterations = 150), Arb.int()) { seed ->
                runTest(timeout = 2.minutes) {
                    val world = OnceWorld(this, seed)
                    val schedule = Schedule(world, Random(seed))
                    repeat(3) { schedule.startNode() }
                    delay(2.seconds)
                    repeat(40) { schedule.step() }
                    schedule.settle()
                    totals.add(world)
                    withClue("seed $seed: ${schedule.log}") { world.violations().shouldBeEmpty() }
                }
            }
            println("random schedules: $totals")
        }
    })

private val domains = listOf("dar-ea", "dar-eb")

private val actions = List(10) { "submit" } +
    listOf("kill", "kill", "freeze", "thaw", "thaw", "declare gone", "hand over") +
    listOf("fault for all", "fault for one", "fault for one", "lose answers", "lose answers", "repair", "repair") +
    listOf("cut", "heal", "heal")

private val faults = listOf(
    Fault.DOWN,
    Fault.ANSWERS_LOST,
    Fault.CALLS_LOST,
    Fault.slow(300.milliseconds),
    Fault.slow(3.seconds),
)

/** Shows that the schedules reach the cases they are meant for. */
private class Totals {
    private var runs = 0
    private var takenOver = 0
    private var answers = 0
    private val refusals = mutableMapOf<String, Int>()

    fun add(world: OnceWorld) {
        runs += world.runs.values.sum()
        takenOver += world.takenOver.size
        world.told.values.flatten().forEach {
            when (it) {
                is Told.Answer -> answers++
                is Told.Refusal -> refusals.merge("${it.problem.kind} ${it.problem.runState}", 1, Int::plus)
            }
        }
    }

    override fun toString() = "$runs runs, $takenOver keys taken over, $answers answers, refusals $refusals"
}
