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

        test("a version that fails as often as the old one is not rolled back") {
            val step = RolloutPolicy.nextStep(VersionCounts(86, 14), VersionCounts(860, 140), 5_000, 12_000)
            step.state shouldBe RolloutState.RUNNING
        }
    })
