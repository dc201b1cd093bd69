package org.berylpoint.policy.duty

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.berylpoint.model.Workspace

class HeldLeaseTest :
    FunSpec({
        val lease = HeldLease(1, renewedSteadyMillis = 1_000, renewedWallMillis = 50_000, durationMillis = 4_500)

        test("a holder acts until the safety margin before its lease expires") {
            lease.mayAct(4_300, 53_300) shouldBe true
            lease.mayAct(4_400, 53_400) shouldBe false
        }

        test("suspended machine: a holder whose steady clock stopped does not act after it resumes") {
            lease.mayAct(1_100, 58_000) shouldBe false
        }

        test("clock step: a wall clock that is set back does not extend the lease") {
            lease.mayAct(4_900, 48_000) shouldBe false
            lease.mayAct(1_100, 48_000) shouldBe true
        }

        test("clock step: the median offset is correct while fewer than half of the clocks have been stepped") {
            medianClockOffset(listOf(1_000, 1_002, 3_001, 999, 3_000)) shouldBe 1_002
        }

        test("usage counts of a window are summed over several processes") {
            val a = UsageWindows(5_000)
            val b = UsageWindows(5_000)
            a.add(Workspace("w"), 4_999)
            a.add(Workspace("w"), 5_000)
            b.add(Workspace("w"), 5_001)
            b.add(Workspace("v"), 9_999)
            val parts = listOf(a, b).mapNotNull { it.snapshot()[1] }
            sumUsage(parts) shouldBe mapOf(Workspace("v") to 1L, Workspace("w") to 2L)
        }
    })
