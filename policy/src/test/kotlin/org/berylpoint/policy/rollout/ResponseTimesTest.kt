package org.berylpoint.policy.rollout

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class ResponseTimesTest :
    FunSpec({
        test("a response is slow if it took over twice the usual time") {
            val times = ResponseTimes()
            repeat(20) { times.add(100.0) }
            times.add(190.0) shouldBe false
            times.add(210.0) shouldBe true
        }

        test("nothing is said of the first responses") {
            val times = ResponseTimes()
            List(10) { times.add(100.0) }.filterNotNull() shouldBe emptyList()
            times.add(100.0) shouldBe false
        }

        // Guards against a rollout that is taken back because all servers of the service are overloaded.
        test("the usual time follows an overload") {
            val times = ResponseTimes()
            repeat(64) { times.add(100.0) }
            repeat(50) { times.add(400.0) }
            times.add(500.0) shouldBe false
        }

        test("very short times are not told apart") {
            val times = ResponseTimes()
            repeat(20) { times.add(1.0) }
            times.add(15.0) shouldBe false
        }
    })
