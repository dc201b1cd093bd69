package org.berylpoint.policy.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class ColdServerRateLimiterTest :
    FunSpec({
        for (count in listOf(1, 3, 9, 76)) {
            test("$count instances together send no more than the maximum rate to a cold server in any second") {
                val names = (1..count).map { "entry-$it" }
                val limiters = names.associateWith { ColdServerRateLimiter(PER_SECOND) }
                val sent = (0L until 5_000L step 10).flatMap { now ->
                    names.filter { limiters.getValue(it).tryAcquire(it, "server-1", names, now) }.map { now }
                }
                val busiest = (0L until 5_000L step 10).maxOf { from -> sent.count { it in from until from + 1_000 } }
                busiest shouldBeLessThanOrEqual PER_SECOND.toInt()
                busiest shouldBeGreaterThan PER_SECOND.toInt() / 2
            }
        }

        test("an instance that is not among the known instances sends nothing") {
            ColdServerRateLimiter(PER_SECOND).permitsPerSecond("unknown", "server-1", listOf("a", "b")) shouldBe 0
        }
    })

private const val PER_SECOND = 17.0
