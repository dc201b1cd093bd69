package org.berylpoint.policy.capacity

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.berylpoint.model.FailureDomain

class CapacityPlanTest :
    FunSpec({
        test("calm load: reclaimable servers carry it even without one domain, and on-demand ones are the base") {
            val orders = CapacityPlan.orders(6.0, domains(warm = 3), BOUNDS)
            orders.sumOf { it.reclaimable } - orders.maxOf { it.reclaimable } shouldBeGreaterThanOrEqual 6
            orders.sumOf { it.onDemand } shouldBe 2
        }

        test("reclaims of two domains at once: what is left carries a calm load") {
            val orders = CapacityPlan.orders(6.0, domains(warm = 3), BOUNDS)
            val left = orders.sumOf { it.onDemand } + orders.map { it.reclaimable }.sorted().take(2).sum()
            left shouldBeGreaterThanOrEqual 6
        }

        // Guards against orders that give up the servers that are left where no more are to be had.
        test("no more reclaimable servers to be had: those that are there are kept") {
            val orders = CapacityPlan.orders(6.0, domains(warm = 2).map { it.copy(isReclaimableExhausted = true) }, BOUNDS)
            orders.map { it.reclaimable } shouldBe listOf(2, 2, 2, 2)
        }

        test("reclaim of a domain while no more are to be had: most of the load is carried even after the next one") {
            val supplies = domains(warm = 3).map { it.copy(isReclaimableExhausted = true) }
            val left = supplies.drop(2) + supplies.take(2).map { it.taken() }
            val onDemand = CapacityPlan.orders(6.0, left, BOUNDS).sumOf { it.onDemand }
            onDemand + 3 shouldBeGreaterThanOrEqual 5
        }

        test("least number: a domain without reclaimable servers gets the on-demand ones that are needed anyway") {
            val supplies = domains(warm = 3)
            val orders = CapacityPlan.orders(
                6.0,
                supplies.map {
                    if (it.domain.name == "c") it.taken() else it
                },
                BOUNDS,
            )
            orders.first { it.domain.name == "c" }.onDemand shouldBe 1
            orders.sumOf { it.onDemand } shouldBe 2
        }

        test("start: before reclaimable servers are warm, on-demand ones carry the whole load") {
            CapacityPlan.orders(6.0, domains(warm = 0), BOUNDS).sumOf { it.onDemand } shouldBeGreaterThanOrEqual 6
        }

        test("reclaim of every domain: on-demand servers are ordered for what is missing, no reclaimable ones") {
            val orders = CapacityPlan.orders(6.0, domains(warm = 0).map { it.copy(isReclaimableExhausted = true) }, BOUNDS)
            orders.sumOf { it.reclaimable } shouldBe 0
            orders.sumOf { it.onDemand } shouldBeGreaterThanOrEqual 6
        }

        test("domain out of service: nothing beyond the least is ordered there") {
            val supplies = domains(warm = 3)
            val orders = CapacityPlan.orders(
                6.0,
                listOf(supplies[0].copy(isOutOfService = true)) + supplies.drop(1),
                BOUNDS,
            )
            orders.first().reclaimable shouldBe 0
            orders.first().onDemand shouldBe BOUNDS.min
        }

        test("bounds: both kinds together stay within the most of a domain") {
            val orders = CapacityPlan.orders(60.0, domains(warm = 0), BOUNDS)
            orders.forEach { (it.onDemand + it.reclaimable) shouldBeLessThan BOUNDS.max + 1 }
        }

        test("price: the base stands in the cheapest domains") {
            val base = CapacityPlan.orders(6.0, domains(warm = 3), BOUNDS.copy(min = 0)).filter { it.onDemand > 0 }
            base.map { it.domain.name } shouldBe listOf("b", "d")
        }

        test("wave: demand counts as the highest of the last seconds") {
            val meter = DemandMeter()
            var sum = 0L
            for (now in 0L..20_000L step 500) {
                sum += if (now in 8_000..12_000) 100_000 else 10_000
                meter.add(mapOf("p" to sum), active = 3, nowMillis = now)
            }
            meter.demand()!!.promptTokensPerSecond shouldBeGreaterThan 150_000.0
        }

        // Guards against orders of all servers that can be had (mshikamano-book trouble-1, after the power loss).
        test("restart of all instances: what has piled up meanwhile does not count as demand") {
            val meter = DemandMeter()
            var sum = 0L
            for (now in 0L..12_000L step 500) {
                sum += if (now in 500..2_500) 600_000 else 100_000
                meter.add(mapOf("p" to sum), active = if (now < 3_000) 400 else 40, nowMillis = now)
            }
            meter.demand()!!.promptTokensPerSecond shouldBe 200_000.0
            meter.demand()!!.active shouldBe 40.0
        }

        test("a process heard for the first time: what it served before does not count as demand") {
            val meter = DemandMeter()
            for (now in 0L..12_000L step 500) {
                val own = mapOf("p" to now * 100)
                meter.add(if (now < 8_000) own else own + ("q" to 50_000_000L), active = 3, nowMillis = now)
            }
            meter.demand()!!.promptTokensPerSecond shouldBe 100_000.0
        }
    })

private fun DomainSupply.taken() = copy(warmReclaimable = 0, presentReclaimable = 0, isReclaimableExhausted = true)

private val BOUNDS = CapacityBounds(min = 1, max = 10, allowsReclaimable = true)

private fun domains(warm: Int) = listOf("a" to 1.0, "b" to 0.8, "c" to 1.25, "d" to 0.9)
    .map { (name, price) -> DomainSupply(FailureDomain(name), price, warm, warm, false, false) }
