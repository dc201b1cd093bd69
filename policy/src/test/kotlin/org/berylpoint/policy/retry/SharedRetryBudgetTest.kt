package org.berylpoint.policy.retry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan

class SharedRetryBudgetTest :
    FunSpec({
        test("nine instances that retry every request stay within the shared budget") {
            val budgets = List(9) { SharedRetryBudget(0.2, 58.0, 10_000) }
            val retries = budgets.sumOf { budget ->
                (0L until 10_000L step 50).count { now ->
                    budget.recordFirstAttempt(now)
                    budget.tryRetry(now, 9)
                }
            }
            retries.toDouble() shouldBeLessThanOrEqual 0.2 * 9 * 200 + 58
            retries shouldBeGreaterThan 9 * 20
        }
    })
