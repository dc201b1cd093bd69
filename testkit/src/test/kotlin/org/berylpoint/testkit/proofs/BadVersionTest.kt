package org.berylpoint.testkit.proofs

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.berylpoint.model.VersionMove.State
import org.berylpoint.testkit.proofs.JudgementScene.Companion.NEW
import org.berylpoint.testkit.proofs.JudgementScene.Companion.OLD
import org.berylpoint.testkit.standin.FaultScope
import org.berylpoint.testkit.standin.LinkFault
import org.berylpoint.testkit.standin.ServerFault
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** P2: a bad version gets a small share before it is judged, and nothing 2 s after there is sufficient evidence. */
class BadVersionTest :
    FunSpec({
        val onset = 60_000L
        val bad = listOf(
            Bad("fails at once", ServerFault.Fail(), isCanary = true),
            Bad("fails half of its calls at once", ServerFault.Fail(FaultScope(probability = 0.5)), isCanary = true),
            Bad("fails on one rare route", ServerFault.Fail(FaultScope(route = JudgementScene.RARE_ROUTE))),
            Bad("fails later", ServerFault.Fail(FaultScope(afterMillis = onset)), fromMillis = onset),
            Bad("slows down later", ServerFault.Slow(FaultScope(afterMillis = onset)), fromMillis = onset),
            Bad("fails under load", ServerFault.Fail(FaultScope(minInFlight = 3))),
        )
        for (case in bad) {
            for (seed in SEEDS) {
                test("a version that ${case.name} is rolled back (seed $seed)") {
                    runTest(timeout = 2.minutes) {
                        val scene = JudgementScene(this, seed)
                        scene.startTraffic()
                        scene.servers(NEW).forEach { it.switchOn(case.fault) }
                        delay(5.seconds)
                        val start = scene.journal.now()
                        scene.move(within = 4.minutes)
                        scene.awaitEnd(4.minutes)
                        delay(3.seconds)
                        val evidence = scene.evidenceMillis(maxOf(start, case.fromMillis))
                        val share = scene.arrivals(NEW).size.toDouble() /
                            (scene.arrivals(NEW) + scene.arrivals(OLD, start..(scene.endMillis ?: 0))).size
                        val last = scene.arrivals(NEW).maxOfOrNull { it.atMillis }
                        println(
                            "${case.name}, seed $seed: evidence at $evidence ms, last call $last ms, " +
                                "end ${scene.endMillis} ms, share up to the end $share",
                        )
                        scene.move.state shouldBe State.TAKEN_BACK
                        if (case.isCanary) share shouldBeLessThanOrEqual 0.05
                        evidence.shouldNotBeNull()
                        last.shouldNotBeNull() shouldBeLessThanOrEqual evidence + 2_000
                        scene.check().violations.shouldBeEmpty()
                    }
                }
            }
        }

        val good = listOf<Pair<String, (JudgementScene) -> Unit>>(
            "a good version is moved" to {},
            "a link that is bad for both versions is not the new version's fault" to { scene ->
                scene.link(LinkFault.Lossy(0.6))
            },
            "an overload of both versions is not the new version's fault" to { scene ->
                scene.backends.all.values.forEach {
                    it.switchOn(ServerFault.Fail(FaultScope(afterMillis = 10_000, probability = 0.25), 503))
                }
            },
            "a slow time of both versions is not the new version's fault" to { scene ->
                scene.backends.all.values.forEach {
                    it.switchOn(ServerFault.Slow(FaultScope(afterMillis = 20_000, probability = 0.3)))
                }
            },
            "one server that becomes cold is not the new version's fault" to { scene ->
                scene.later(50.seconds) { scene.servers(NEW).first().becomeCold() }
            },
        )
        for ((name, prepare) in good) {
            for (seed in SEEDS) {
                test("$name (seed $seed)") {
                    runTest(timeout = 2.minutes) { moves(JudgementScene(this, seed), name, prepare) }
                }
            }
        }

        for (seed in SEEDS) {
            test("a cold start is not the new version's fault (seed $seed)") {
                runTest(timeout = 2.minutes) { moves(JudgementScene(this, seed, newStartsWarm = false), "cold") {} }
            }
        }

        test("a good version with little traffic is moved by the set time") {
            runTest(timeout = 2.minutes) {
                moves(JudgementScene(this, 1, requestsPerSecond = 0.5), "little traffic") {}
            }
        }
    }) {
    private data class Bad(
        val name: String,
        val fault: ServerFault,
        val fromMillis: Long = 0,
        /** Whether it must be found out at the canary share. */
        val isCanary: Boolean = false,
    )

    private companion object {
        val SEEDS = 1..2
        val WITHIN: Duration = 2.minutes

        fun JudgementScene.link(fault: LinkFault) = backends.link(domains[0], domains[1], fault)

        suspend fun moves(scene: JudgementScene, name: String, prepare: (JudgementScene) -> Unit) {
            scene.startTraffic()
            prepare(scene)
            delay(5.seconds)
            val start = scene.journal.now()
            scene.move(WITHIN)
            scene.awaitEnd(WITHIN)
            delay(5.seconds)
            val end = scene.endMillis.shouldNotBeNull()
            val old = scene.arrivals(OLD, end + 4_000..Long.MAX_VALUE)
            println("$name: ${scene.move.state} after ${end - start} ms")
            scene.move.state shouldBe State.DONE
            end - start shouldBeLessThanOrEqual WITHIN.inWholeMilliseconds
            old.shouldBeEmpty()
            scene.check().violations.shouldBeEmpty()
        }
    }
}
