package org.berylpoint.policy.retry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan

class SharedRetryBudgetTest :
    FunSpec({
        test("retry storm: nine instances together stay within the shared budget") {
            val shares = List(9) { SharedRetryBudget(0.2, 58.0, 10_000) }
            val retries = shares.sumOf { share ->
                (0L until 10_000L step 50).count { now ->
                    share.recordFirstAttempt(now)
                    share.tryRetry(now, 9)
                }
            }
            retries.toDouble() shouldBeLessThanOrEqual 0.2 * 9 * 200 + 58
            retries shouldBeGreaterThan 9 * 20
        }
    })
