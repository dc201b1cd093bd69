package org.berylpoint.policy.rollout

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.berylpoint.model.serving.RolloutState

class RolloutPolicyTest :
    FunSpec({
        test("the rollout of a good version completes within its duration") {
            val step = RolloutPolicy.nextStep(VersionCounts(300, 1), VersionCounts(900, 4), 10_000, 12_000)
            step.state shouldBe RolloutState.COMPLETED
        }

        test("a bad version gets a small share and is rolled back after a few bad outcomes") {
            val old = VersionCounts(100, 1)
            RolloutPolicy.nextStep(VersionCounts(5, 0), old, 1_000, 12_000).share shouldBeLessThanOrEqual 0.1
            RolloutPolicy.nextStep(VersionCounts(5, 5), old, 1_500, 12_000).state shouldBe RolloutState.ROLLED_BACK
        }

        // Guards against a version that answers several times slower and is kept (EXPOSURE): all its responses are
        // good.
        test("a version whose responses are slow is rolled back although they are complete") {
            val old = VersionCounts(500, 0)
            val step = RolloutPolicy.nextStep(
                VersionCounts(25, 0),
                old,
                5_500,
                15_000,
                newTimings = TimingCounts(26, 14),
                oldTimings = TimingCounts(520, 90),
            )
            step.state shouldBe RolloutState.ROLLED_BACK
        }

        test("a version's share does not grow while more of its responses are slow, but too few are known") {
            val step = RolloutPolicy.nextStep(
                VersionCounts(25, 0),
                VersionCounts(500, 0),
                6_000,
                15_000,
                newTimings = TimingCounts(25, 9),
                oldTimings = TimingCounts(520, 90),
            )
            step.state shouldBe RolloutState.RUNNING
            step.share shouldBeLessThanOrEqual 0.1
        }

        test("a version that is slow as often as the old one completes within its duration") {
            val step = RolloutPolicy.nextStep(
                VersionCounts(300, 1),
                VersionCounts(900, 4),
                13_000,
                15_000,
                newTimings = TimingCounts(300, 70),
                oldTimings = TimingCounts(900, 170),
            )
            step.state shouldBe RolloutState.COMPLETED
        }

        test("a version that fails as often as the old one is not rolled back") {
            val step = RolloutPolicy.nextStep(VersionCounts(86, 14), VersionCounts(860, 140), 5_000, 12_000)
            step.state shouldBe RolloutState.RUNNING
        }
    })
