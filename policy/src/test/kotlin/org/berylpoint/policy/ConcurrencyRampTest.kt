package org.berylpoint.policy

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.berylpoint.model.ClassLimits
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class ConcurrencyRampTest :
    FunSpec({
        val limits = ClassLimits(maxInFlight = 8, rampStart = 1, rampMillis = 30_000)

        fun ConcurrencyRamp.afterOnTimeResponses(count: Int, time: TestTimeSource): ConcurrencyRamp =
            (1..count).fold(this) { ramp, _ -> ramp.afterOnTimeResponse(time.markNow()) }

        // Guards against full load on a server that has just started.
        test("doubles from `rampStart` to `maxInFlight` in equal steps") {
            val time = TestTimeSource()
            var ramp = ConcurrencyRamp.start(limits, time.markNow())
            listOf(1, 2, 4, 8, 8).forEach { expected ->
                ramp.limit shouldBe expected
                time += 10.seconds
                ramp = ramp.afterOnTimeResponses(expected, time)
            }
        }

        // Guards against raising the limit on elapsed time alone, or on fewer responses than the limit.
        test("does not grow without enough on-time responses") {
            val time = TestTimeSource()
            var ramp = ConcurrencyRamp.resume(limits, 4, time.markNow())
            time += 60.seconds
            ramp = ramp.afterOnTimeResponses(3, time)
            ramp.limit shouldBe 4
            ramp.afterOnTimeResponses(1, time).limit shouldBe 8
        }

        test("does not grow before the duration of the step has elapsed") {
            val time = TestTimeSource()
            val ramp = ConcurrencyRamp.start(limits, time.markNow())
            time += 9.seconds
            ramp.afterOnTimeResponses(100, time).limit shouldBe 1
        }

        // Guards against keeping the limit of a warm server after the server became cold.
        test("slow responses lower the limit") {
            val time = TestTimeSource()
            val warm = ConcurrencyRamp.resume(limits, 8, time.markNow())
            warm.afterSlowResponse(7, time.markNow()).limit shouldBe 4
            warm.afterSlowResponse(2, time.markNow()).limit shouldBe 2
            warm.afterSlowResponse(0, time.markNow()).limit shouldBe 1
            warm.afterSlowResponse(7, time.markNow()).afterSlowResponse(6, time.markNow()).limit shouldBe 1
        }

        // Guards against restarting the ramp for an isolated slow response of a warm server.
        test("a slow response between on-time responses halves the limit") {
            val time = TestTimeSource()
            val ramp = ConcurrencyRamp.resume(limits, 8, time.markNow())
                .afterSlowResponse(7, time.markNow())
                .afterOnTimeResponses(1, time)
            ramp.afterSlowResponse(7, time.markNow()).limit shouldBe 2
        }

        test("a failure halves the limit and a crash restarts the ramp") {
            val time = TestTimeSource()
            val warm = ConcurrencyRamp.resume(limits, 8, time.markNow())
            warm.afterFailure(time.markNow()).limit shouldBe 4
            warm.restarted(time.markNow()).limit shouldBe 1
        }

        test("the current limit is coerced into changed class limits") {
            val time = TestTimeSource()
            val warm = ConcurrencyRamp.resume(limits, 8, time.markNow())
            warm.withLimits(limits.copy(maxInFlight = 3)).limit shouldBe 3
            warm.withLimits(limits.copy(maxInFlight = 16)).limit shouldBe 8
        }
    })
