package org.berylpoint.policy.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe

class AffinityRingTest :
    FunSpec({
        val servers = List(100) { "server-$it" }
        val ring = AffinityRing(servers) { it }

        test("`candidates` are distinct, stable and as many as requested while there are enough items") {
            ring.candidates("prompt", 4).toSet() shouldHaveSize 4
            ring.candidates("prompt", 4) shouldContainExactly ring.candidates("prompt", 4)
            ring.candidates("prompt", 200).toSet() shouldHaveSize 100
            AffinityRing(emptyList<String>()) { it }.candidates("prompt", 4).shouldBeEmpty()
        }

        test("`candidates` skips items that are not accepted, so that a full server does not hide the others") {
            val first = ring.candidates("prompt", 1).single()
            ring.candidates("prompt", 2) shouldContainExactly
                listOf(first) + ring.candidates("prompt", 1) { it != first }
        }

        test("removing a server reassigns only the prefixes that it served") {
            val without = AffinityRing(servers - "server-7") { it }
            val reassigned = (0 until 2_000).count { number ->
                val before = ring.candidates("p$number", 1).single()
                before != "server-7" && without.candidates("p$number", 1).single() != before
            }
            reassigned shouldBe 0
        }

        test("the busiest server gets less than twice the mean, so that affinity creates no hot spots") {
            val counts = (0 until 50_000).groupingBy { ring.candidates("p$it", 1).single() }.eachCount()
            counts.values.max() / 500.0 shouldBeLessThan 2.0
        }
    })
