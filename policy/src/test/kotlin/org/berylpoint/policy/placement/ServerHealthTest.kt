package org.berylpoint.policy.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe

class ServerHealthTest :
    FunSpec({
        test("dark crash: an unreachable server rests, and longer each time") {
            val health = ServerHealth()
            health.recordOutcome(AttemptSignal.UNREACHABLE, 0)
            health.isEjected(999) shouldBe true
            health.isEjected(1_000) shouldBe false
            health.recordOutcome(AttemptSignal.UNREACHABLE, 1_000)
            health.isEjected(2_999) shouldBe true
        }

        test("grey server: one that fails most requests rests, one that fails a few does not") {
            val grey = ServerHealth()
            repeat(8) { grey.recordOutcome(AttemptSignal.FAILED, 0) }
            grey.isEjected(1) shouldBe true
            val usual = ServerHealth()
            repeat(50) { usual.recordOutcome(if (it % 7 == 0) AttemptSignal.FAILED else AttemptSignal.GOOD, 0) }
            usual.isEjected(1) shouldBe false
        }

        test("slow server: delays above what was expected raise the factor, and usual ones lower it again") {
            val health = ServerHealth()
            repeat(20) { health.recordDelay(400.0, 50.0) }
            health.delayFactor shouldBeGreaterThan 5.0
            repeat(40) { health.recordDelay(50.0, 50.0) }
            health.delayFactor shouldBeLessThan 1.1
        }
    })
