package org.berylpoint.policy.judgement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import org.berylpoint.model.FailureDomain
import kotlin.random.Random

class VersionTrialTest :
    FunSpec({
        // Rates of bad outcomes of the old and of the new version, and whether the new version must be rejected.
        val cases = listOf(
            Case("both faultless", 0.0, 0.0),
            Case("both with rare faults", 0.01, 0.01),
            Case("both overloaded", 0.4, 0.4),
            Case("new version always fails", 0.001, 1.0, isBad = true),
            Case("new version often fails", 0.01, 0.3, isBad = true),
            Case("new version worse by the margin", 0.01, 0.11, isBad = true),
            Case("new version worse by the margin under overload", 0.3, 0.4, isBad = true),
        )
        for (case in cases) {
            test("50 seeds keep the stated error rates: ${case.name}") {
                val runs = (1..SEEDS).map { case.run(it) }
                val wrong = runs.count { (it.first is Finding.Worse) != case.isBad }
                val kind = if (case.isBad) "miss" else "false alarm"
                val median = runs.map { it.second }.sorted()[SEEDS / 2]
                println("${case.name}: $kind rate ${wrong.toDouble() / SEEDS}, median $median new outcomes")
                runs.count { it.first == Finding.Inconclusive } shouldBe 0
                // With a rate of 1% (5%), more than 3 (7) of 50 has a probability below 0.2% (0.2%).
                wrong shouldBeLessThanOrEqual (if (case.isBad) 7 else 3)
            }
        }

        test("a fault on one of several routes is detected although most requests succeed") {
            val runs = (1..SEEDS).map { seed ->
                val random = Random(seed)
                val trial = VersionTrial(ErrorRates(), random)
                val routes = listOf("/a", "/b", "/c", "/d", "/e")
                var finding: Finding = Finding.Inconclusive
                var step = 0L
                while (finding == Finding.Inconclusive && step < 5_000) {
                    val route = routes.random(random)
                    val rate = if (route == "/d") 0.8 else 0.01
                    finding = trial.add(mapOf(at(route) to draw(random, rate, 0.01)), step++ * 100)
                }
                finding
            }
            println("one faulty route: attributed to it in ${runs.count { it == Finding.Worse("/d") }} of $SEEDS")
            runs.count { it !is Finding.Worse } shouldBeLessThanOrEqual 7
        }

        test("a fault of a link is attributed to the link and not to the version") {
            val runs = (1..SEEDS).map { seed ->
                val random = Random(seed)
                val trial = VersionTrial(ErrorRates(), random)
                val links = FaultyLinkDetector(ErrorRates(), random)
                var faulty = emptySet<Pair<FailureDomain, FailureDomain>>()
                var finding: Finding = Finding.Inconclusive
                repeat(400) { step ->
                    val outcomes = listOf("x" to 0.7, "y" to 0.01, "z" to 0.01).associate { (to, rate) ->
                        at("/a", to) to draw(random, rate, rate)
                    }
                    if (finding !is Finding.Worse) finding = trial.add(outcomes, step * 100L)
                    faulty = links.add(outcomes.mapValues { it.value.old }, step * 100L)
                }
                finding to faulty
            }
            val rejected = runs.count { it.first is Finding.Worse }
            val detected = runs.count { it.second == setOf(FailureDomain("m") to FailureDomain("x")) }
            println("faulty link: version rejected in $rejected, only that link detected in $detected of $SEEDS")
            rejected shouldBeLessThanOrEqual 3
            (SEEDS - detected) shouldBeLessThanOrEqual 7
        }

        test("while the new version's servers may be cold, bad outcomes reject it but good ones do not accept it") {
            val random = Random(1)
            val faultless = VersionTrial(ErrorRates(), random)
            repeat(1_000) { faultless.add(mapOf(at("/a") to draw(random, 0.0, 0.0)), it * 100L, mayAccept = false) }
            faultless.finding() shouldBe Finding.Inconclusive
            val faulty = VersionTrial(ErrorRates(), random)
            repeat(40) { faulty.add(mapOf(at("/a") to draw(random, 1.0, 0.0)), it * 100L, mayAccept = false) }
            faulty.finding() shouldBe Finding.Worse(null)
        }

        test("pairing uses each outcome at most once and counts no bad outcome that was not added") {
            checkAll(PropTestConfig(seed = 4711), Arb.int(0..50), Arb.int(0..50), Arb.int(0..50), Arb.int(0..50)) {
                    newGood,
                    newBad,
                    oldGood,
                    oldBad,
                ->
                val pairs = OutcomePairer(Random(newGood + 31 * oldBad)).add(
                    Outcomes(newGood.toLong(), newBad.toLong()),
                    Outcomes(oldGood.toLong(), oldBad.toLong()),
                    0,
                )
                pairs.total shouldBe minOf(newGood + newBad, oldGood + oldBad)
                pairs.onlyNewBad shouldBeLessThanOrEqual minOf(newBad, oldGood)
                pairs.onlyOldBad shouldBeLessThanOrEqual minOf(oldBad, newGood)
            }
        }

        test("the share of requests drawn for the new version never exceeds the maximum of the canary share") {
            val random = Random(7)
            var new = 0L
            var old = 0L
            repeat(100_000) {
                if (random.nextDouble() < CanaryShare.next(new, old)) new++ else old++
                if (new > 0) new.toDouble() / (new + old) shouldBeLessThanOrEqual CanaryShare.MAX_SHARE
            }
        }

        test("the stages reach the last share by the deadline without evidence") {
            val stages = MoveStages(minStageMillis = 10_000)
            listOf(60_000L to -1, 30_000L to -1, 29_999L to 0, 20_000L to 1, 10_000L to 2, 0L to 3).forEach {
                stages.requiredStage(it.first, stages.expeditedStageMillis(60_000)) shouldBe it.second
            }
            stages.expeditedStageMillis(3_600_000) shouldBe 300_000
        }
    }) {
    private class Case(val name: String, val old: Double, val new: Double, val isBad: Boolean = false) {
        /** The finding, and the number of new outcomes that it required. */
        fun run(seed: Int): Pair<Finding, Int> {
            val random = Random(seed)
            val trial = VersionTrial(ErrorRates(), random)
            for (step in 1..5_000) {
                val finding = trial.add(mapOf(at("/a") to draw(random, new, old)), step * 100L)
                if (finding != Finding.Inconclusive) return finding to step
            }
            return Finding.Inconclusive to 5_000
        }
    }

    private companion object {
        const val SEEDS = 50

        fun at(route: String, to: String = "x") = Stratum(route, FailureDomain("m"), FailureDomain(to))

        /** One new outcome and nineteen old ones, bad at the rates [new] and [old]. */
        fun draw(random: Random, new: Double, old: Double): StratumOutcomes {
            val newBad = if (random.nextDouble() < new) 1L else 0L
            val oldBad = (1..19).count { random.nextDouble() < old }.toLong()
            return StratumOutcomes(Outcomes(1 - newBad, newBad), Outcomes(19 - oldBad, oldBad))
        }
    }
}
