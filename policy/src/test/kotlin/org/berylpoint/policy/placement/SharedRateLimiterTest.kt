package org.berylpoint.policy.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

class SharedRateLimiterTest :
    FunSpec({
        for (count in listOf(1, 3, 9, 76)) {
            test("$count instances together send no more than the maximum rate to a cold server in any second") {
                val names = names(count)
                val limiters = names.associateWith { SharedRateLimiter(COLD_WINDOW_MILLIS, minPerSender = 2) }
                val sent = (0L until 5_000L step 10).flatMap { now ->
                    names.filter { limiters.getValue(it).tryAcquire(rate(COLD_PER_SECOND, it, names), now) }.map { now }
                }
                val busiest = (0L until 5_000L step 10).maxOf { from -> sent.count { it in from until from + 1_000 } }
                busiest shouldBeLessThanOrEqual COLD_PER_SECOND.toInt()
                busiest shouldBeGreaterThan COLD_PER_SECOND.toInt() / 2
            }
        }

        // Guards against a server in need that gets several times the rate that it names (LIMIT): the senders are many,
        // the rate is small and has a fraction, and each sender alone may send a first request at any time.
        for (count in listOf(1, 8, 66, 300)) {
            for (limit in listOf(0.1, 0.5, 1.6, 2.0, 8.0, 40.0)) {
                test("$count instances together keep to $limit requests a second, and use them") {
                    val names = names(count)
                    val limiters = names.associateWith { SharedRateLimiter(LIMIT_WINDOW_MILLIS, minPerSender = 1) }
                    val sent = (0L until RUN_MILLIS step 20).flatMap { now ->
                        names.filter { limiters.getValue(it).tryAcquire(rate(limit, it, names), now) }.map { now }
                    }
                    val busiest = (0L until RUN_MILLIS step 20).maxOf { from ->
                        sent.count { it in from until from + LIMIT_WINDOW_MILLIS }
                    }
                    busiest shouldBeLessThanOrEqual maxOf(1, (limit * LIMIT_WINDOW_MILLIS / 1_000).toInt())
                    sent.size.toDouble() shouldBeGreaterThan MIN_USED_SHARE * limit * RUN_MILLIS / 1_000
                }
            }
        }

        test("an instance that is not among the known instances sends nothing") {
            val limiter = SharedRateLimiter(COLD_WINDOW_MILLIS, minPerSender = 2)
            limiter.permits(rate(COLD_PER_SECOND, "unknown", setOf("a", "b"))) shouldBe 0
        }

        test("a wait is named after which the request may be sent") {
            val limiter = SharedRateLimiter(LIMIT_WINDOW_MILLIS, minPerSender = 1)
            val rate = rate(0.5, "a", setOf("a"))
            repeat(2) { limiter.tryAcquire(rate, nowMillis = 0) shouldBe true }
            limiter.tryAcquire(rate, nowMillis = 100) shouldBe false
            val wait = limiter.waitMillis(rate, nowMillis = 100)
            wait shouldBeGreaterThan 0
            limiter.tryAcquire(rate, nowMillis = 100 + wait) shouldBe true
        }

        // Guards against a server that never gets a request again, since only a response can end its limit.
        test("a server that names no requests at all still gets one now and then") {
            val limiter = SharedRateLimiter(LIMIT_WINDOW_MILLIS, minPerSender = 1)
            val rate = rate(0.0, "a", setOf("a"))
            (0L until 120_000L step 100).count { limiter.tryAcquire(rate, it) } shouldBe 6
        }

        test("a changed rate holds at once, with what was sent before") {
            val limiter = SharedRateLimiter(LIMIT_WINDOW_MILLIS, minPerSender = 1)
            repeat(8) { limiter.tryAcquire(rate(2.0, "a", setOf("a")), nowMillis = 0) shouldBe true }
            limiter.tryAcquire(rate(1.0, "a", setOf("a")), nowMillis = 3_000) shouldBe false
            limiter.tryAcquire(rate(4.0, "a", setOf("a")), nowMillis = 3_000) shouldBe true
        }
    })

private const val COLD_PER_SECOND = 17.0
private const val COLD_WINDOW_MILLIS = 1_000L
private const val LIMIT_WINDOW_MILLIS = 4_000L
private const val RUN_MILLIS = 60_000L

/** Windows are a tenth longer than they need to be, and the last one of the run may have just begun. */
private const val MIN_USED_SHARE = 0.8

private fun names(count: Int) = (1..count).map { "entry-$it" }.toSet()

private fun rate(perSecond: Double, self: String, names: Set<String>) = SharedRate(perSecond, "server-1", self, names)
