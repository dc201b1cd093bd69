package org.berylpoint.policy.rollout

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.berylpoint.model.serving.RolloutState
import kotlin.random.Random

class RolloutPolicyTest :
    FunSpec({
        test("the rollout of a good version completes within its duration") {
            val step = nextStep(evidence(300, 1), evidence(900, 4), 11_700, 12_000, handoverMillis = 1_000)
            step.state shouldBe RolloutState.COMPLETED
        }

        test("a bad version gets a small share and is rolled back after a few bad outcomes") {
            val old = evidence(100, 1)
            nextStep(evidence(5, 0), old, 1_000, 12_000).share shouldBeLessThanOrEqual 0.1
            nextStep(evidence(5, 5), old, 1_500, 12_000).state shouldBe RolloutState.ROLLED_BACK
        }

        // Guards against a version that answers several times slower and is kept (EXPOSURE): all its responses are
        // good.
        test("a version whose responses are slow is rolled back although they are complete") {
            val old = evidence(500, 0, TimingCounts(520, 90))
            val step = nextStep(evidence(25, 0, TimingCounts(26, 14)), old, 5_500, 15_000)
            step.state shouldBe RolloutState.ROLLED_BACK
        }

        test("a version's share does not grow while more of its responses are slow, but too few are known") {
            val step = nextStep(
                evidence(25, 0, TimingCounts(25, 9)),
                evidence(500, 0, TimingCounts(520, 90)),
                6_000,
                15_000,
            )
            step.state shouldBe RolloutState.RUNNING
            step.share shouldBeLessThanOrEqual 0.1
            step.handoverInMillis shouldBe null
        }

        test("a version that is slow as often as the old one completes within its duration") {
            val step = nextStep(
                evidence(300, 1, TimingCounts(300, 70)),
                evidence(900, 4, TimingCounts(900, 170)),
                14_700,
                15_000,
                handoverMillis = 1_000,
            )
            step.state shouldBe RolloutState.COMPLETED
        }

        test("a version that fails as often as the old one is not rolled back") {
            val step = nextStep(evidence(86, 14), evidence(860, 140), 5_000, 12_000)
            step.state shouldBe RolloutState.RUNNING
        }

        // Guards against a version that is bad on one route only and is completed (EXPOSURE): over all routes its
        // failures were too few.
        test("a version that fails on one route is rolled back although most of its outcomes are good") {
            val old = evidence(590, 4).copy(routes = mapOf("a" to VersionCounts(98, 2), "b" to VersionCounts(492, 2)))
            val new = evidence(106, 5).copy(routes = mapOf("a" to VersionCounts(15, 5), "b" to VersionCounts(91, 0)))
            nextStep(new, old, 14_000, 30_000).state shouldBe RolloutState.ROLLED_BACK
        }

        test("a version's share does not grow while it seems to fail on one route") {
            val old = evidence(590, 4).copy(routes = mapOf("a" to VersionCounts(98, 2), "b" to VersionCounts(492, 2)))
            val new = evidence(60, 3).copy(routes = mapOf("a" to VersionCounts(9, 3), "b" to VersionCounts(51, 0)))
            val step = nextStep(new, old, 14_000, 30_000)
            step.state shouldBe RolloutState.RUNNING
            step.share shouldBeLessThanOrEqual 0.1
            step.handoverInMillis shouldBe null
        }

        // Guards against a version that turns bad late and hides behind its good past (EXPOSURE; review/9).
        test("a version whose newest outcomes are bad is rolled back although most of all are good") {
            val recent = ComparedVersions(evidence(4, 6), evidence(250, 1))
            val whole = ComparedVersions(evidence(300, 6), evidence(5_700, 30))
            VersionComparison.verdict(whole, listOf(recent)) shouldBe VersionVerdict.WORSE
        }

        // Guards against a version that fails a little more often than the old one and is kept: a fixed margin of 8 in
        // 100 hid it, however many outcomes there were.
        test("a version that fails in 5 of 100 requests is rolled back if the old one hardly fails") {
            nextStep(evidence(285, 15), evidence(5_700, 6), 50_000, 60_000).state shouldBe RolloutState.ROLLED_BACK
        }

        test("a version is not rolled back for failures that both versions have at the same time") {
            val recent = ComparedVersions(evidence(8, 6), evidence(150, 110))
            val whole = ComparedVersions(evidence(300, 6), evidence(5_700, 120))
            VersionComparison.verdict(whole, listOf(recent)) shouldNotBe VersionVerdict.WORSE
        }

        test("a version gets all traffic only as long before its end as the bounds allow") {
            val sent = evidence(1_140, 0)
            nextStep(evidence(57, 0), sent, 10_500, 12_000).share shouldBeLessThanOrEqual 0.1
            nextStep(evidence(57, 0), sent, 11_200, 12_000).share shouldBe 1.0
        }

        test("a version that seems to fail does not get all traffic at the end of its time") {
            val recent = ComparedVersions(evidence(11, 2), evidence(250, 0))
            val whole = ComparedVersions(evidence(55, 2), evidence(1_140, 0))
            val verdict = VersionComparison.verdict(whole, listOf(recent))
            verdict shouldBe VersionVerdict.SUSPECT
            nextStep(whole.new, whole.old, 11_800, 12_000, 700, verdict).share shouldBeLessThanOrEqual 0.1
        }

        // Guards against a version that is in doubt all the time and kept, or completed at last (EXPOSURE).
        test("a version that is in doubt when its time is over is taken back") {
            val step = nextStep(evidence(55, 2), evidence(1_140, 0), 12_000, 12_000, verdict = VersionVerdict.SUSPECT)
            step.state shouldBe RolloutState.ROLLED_BACK
        }

        // Guards against a version that hides behind failures of both versions (EXPOSURE): it fails in 6 of 10 requests
        // that are not lost on the way.
        test("a version that responds with errors is rolled back while 4 of 10 responses of both versions are lost") {
            val recent = ComparedVersions(evidence(5, 14).copy(errors = 8), evidence(150, 100))
            val whole = ComparedVersions(evidence(65, 54).copy(errors = 8), evidence(1_500, 1_000))
            VersionComparison.verdict(whole, listOf(recent)) shouldBe VersionVerdict.WORSE
        }

        // Guards against sound versions that are taken back for a few lost responses.
        test("a version that lost 5 of 21 responses while the old one lost 1 of 10 is kept") {
            nextStep(evidence(16, 5), evidence(450, 50), 5_000, 30_000).state shouldBe RolloutState.RUNNING
        }

        test("a version that hardly served is not completed") {
            val step = nextStep(evidence(2, 0), evidence(10, 0), 11_900, 12_000, handoverMillis = 1_000)
            step.state shouldBe RolloutState.RUNNING
        }

        // Guards against sound versions that are taken back by chance, with more routes to compare.
        test("a version that fails on each route as often as the old one completes within its duration") {
            val random = Random(5)
            repeat(200) {
                val routes = (1..8).associate { "r$it" to sample(random, 40) }
                val old = (1..8).associate { "r$it" to sample(random, 300) }
                val new = VersionEvidence(sum(routes), routes = routes)
                val step = nextStep(new, VersionEvidence(sum(old), routes = old), 28_000, 30_000)
                step.state shouldNotBe RolloutState.ROLLED_BACK
            }
        }

        test("a version's share does not grow while it fails on a route that only it has served") {
            val new = evidence(100, 6).copy(routes = mapOf("new" to VersionCounts(4, 6)))
            val step = nextStep(new, evidence(500, 5), 14_000, 30_000)
            step.state shouldBe RolloutState.RUNNING
            step.share shouldBeLessThanOrEqual 0.1
            step.handoverInMillis shouldBe null
        }
    })

/** The step of a service whose requests so far are those of the evidence, at their mean rate. */
private fun nextStep(
    new: VersionEvidence,
    old: VersionEvidence,
    elapsedMillis: Long,
    durationMillis: Long,
    handoverMillis: Long? = null,
    verdict: VersionVerdict = verdictOf(new, old),
): RolloutStep {
    val sent = new.outcomes.total + old.outcomes.total
    val schedule = RolloutSchedule(elapsedMillis, durationMillis, handoverMillis, 400, 400)
    val account = ExposureAccount(sent, new.outcomes.total, ExposureBounds(0.1, 50.0))
    return RolloutPolicy.nextStep(verdict, new.outcomes.total, schedule, account, sent * 1_000.0 / elapsedMillis)
}

private fun verdictOf(new: VersionEvidence, old: VersionEvidence): VersionVerdict {
    val whole = ComparedVersions(new, old)
    return VersionComparison.verdict(whole, listOf(whole))
}

private fun evidence(good: Long, bad: Long, timings: TimingCounts = TimingCounts.NONE) =
    VersionEvidence(VersionCounts(good, bad), timings)

/** [total] outcomes of which each is bad with a probability of 3 in 100. */
private fun sample(random: Random, total: Int): VersionCounts {
    val bad = (1..total).count { random.nextDouble() < 0.03 }.toLong()
    return VersionCounts(total - bad, bad)
}

private fun sum(routes: Map<String, VersionCounts>) =
    VersionCounts(routes.values.sumOf { it.good }, routes.values.sumOf { it.bad })
