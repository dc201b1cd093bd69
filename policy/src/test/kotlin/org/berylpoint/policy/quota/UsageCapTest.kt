package org.berylpoint.policy.quota

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class UsageCapTest :
    FunSpec({
        test("flood of one workspace: nine instances with late reports stay within the window's bound") {
            val admitted = flood(instances = 9, reportMillis = 250, perSecond = 1_000_000.0, cost = 9_000.0)
            busiest(admitted) shouldBeLessThanOrEqual bound()
            busiest(admitted) shouldBeGreaterThan RATE * 8
        }

        test("flood of one workspace: many instances with rare reports stay within the window's bound") {
            val admitted = flood(instances = 60, reportMillis = 500, perSecond = 500_000.0, cost = 4_000.0)
            busiest(admitted) shouldBeLessThanOrEqual bound()
        }

        test("usual load: nothing is refused below the cap") {
            val cap = UsageCap(TOLERANCE)
            val refused = (0L until 30_000L step 100).count { !cap.tryTake(RATE / 10, RATE, BURST, ALONE, 250, it) }
            refused shouldBe 0
        }

        test("partition: an instance that hears half of the others admits half of the cap") {
            val cap = UsageCap(TOLERANCE)
            val total = (0L until 8_000L step 10).sumOf { now ->
                if (cap.tryTake(10_000.0, RATE, BURST, HALF, 250, now)) 10_000.0 else 0.0
            }
            total shouldBeLessThanOrEqual bound() / 2
        }

        // Guards against a part of a cap that a restarted instance gives out a second time (QUOTA on mshikamano-book
        // scale-2, a kill and a cut while two workspaces flood).
        test("restart in a flood: the part that the earlier process used up is not given out again") {
            val cap = UsageCap(TOLERANCE)
            for (now in 0L until 8_000L step 250) cap.takeRemote("other", RATE * 8 / 32, now)
            cap.assumeEarlierProcess(RATE, BURST, instances = 2, nowMillis = 8_000)
            cap.tryTake(1_000.0, RATE, BURST, CapShare(setOf("other"), 1.0), 0, 8_000) shouldBe false
        }

        test("restart at usual load: nothing is refused") {
            val cap = UsageCap(TOLERANCE)
            for (now in 0L until 8_000L step 250) cap.takeRemote("other", RATE * 4 / 32, now)
            cap.assumeEarlierProcess(RATE, BURST, instances = 9, nowMillis = 8_000)
            cap.tryTake(1_000.0, RATE, BURST, CapShare(setOf("other"), 1.0), 250, 8_000) shouldBe true
        }

        // Guards against a cut-off domain that refuses everything until the others' admissions leave the window
        // (lkd-berylpoint scale-1, 52 s to 58 s).
        test("partition: what the others admitted before does not use up the part of those that are cut off") {
            val cap = UsageCap(TOLERANCE)
            for (now in 0L until 8_000L step 250) cap.takeRemote("other", 20_000.0, now)
            cap.tryTake(1_000.0, RATE, BURST, CapShare(setOf("other"), 1.0), 250, 8_000) shouldBe true
            cap.tryTake(1_000.0, RATE, BURST, CapShare(emptySet(), 0.25), 250, 8_000) shouldBe true
        }

        test("partition: a part that was used up by those that are not heard any more is not given out twice") {
            val cap = UsageCap(TOLERANCE)
            for (now in 0L until 8_000L step 250) cap.takeRemote("other", 35_000.0, now)
            cap.tryTake(1_000.0, RATE, BURST, CapShare(emptySet(), 0.5), 250, 8_000) shouldBe false
        }

        test("a refused request leaves its part of the cap to others") {
            val cap = UsageCap(TOLERANCE)
            while (cap.tryTake(50_000.0, RATE, BURST, ALONE, 250, 0)) Unit
            cap.giveBack(200_000.0, 0)
            cap.tryTake(50_000.0, RATE, BURST, ALONE, 250, 0) shouldBe true
        }

        test("the wait that is told is the time after which the window has room") {
            val cap = UsageCap(TOLERANCE)
            var now = 0L
            while (cap.tryTake(100_000.0, RATE, BURST, ALONE, 250, now)) now += 100
            val wait = cap.waitMillis(RATE, BURST, ALONE, now)
            cap.tryTake(1.0, RATE, BURST, ALONE, 250, now + wait - 100) shouldBe false
            cap.tryTake(1.0, RATE, BURST, ALONE, 250, now + wait + 100) shouldBe true
        }
    })

private val ALONE = CapShare(emptySet(), 1.0)
private val HALF = CapShare(emptySet(), 0.5)

private fun all(instances: Int) = CapShare((0 until instances).map { "$it" }.toSet(), 1.0)

private const val RATE = 100_000.0
private const val BURST = 100_000.0
private val TOLERANCE = CapTolerance(windowMillis = 8_000, over = 0.1, slack = 140_000.0)

private fun bound() = (RATE * 8 + BURST) * 1.1 + 140_000.0

/** Costs admitted by all instances, with their times, under a flood of equal requests at random instances. */
private fun flood(instances: Int, reportMillis: Long, perSecond: Double, cost: Double): List<Pair<Long, Double>> {
    val site = FloodedSite(instances, reportMillis, cost)
    var due = 0.0
    for (now in 0L until 30_000L step 10) {
        due += perSecond / 100
        while (due >= cost) {
            due -= cost
            site.ask(now)
        }
        site.report(now)
    }
    return site.admitted
}

/** Instances that report what they admitted every [reportMillis], one after the other. */
private class FloodedSite(private val instances: Int, private val reportMillis: Long, private val cost: Double) {
    private val random = Random(7)
    private val caps = List(instances) { UsageCap(TOLERANCE) }
    private val unreported = DoubleArray(instances)
    val admitted = mutableListOf<Pair<Long, Double>>()

    fun ask(now: Long) {
        val at = random.nextInt(instances)
        if (!caps[at].tryTake(cost, RATE, BURST, all(instances), reportMillis, now)) return
        unreported[at] += cost
        admitted += now to cost
    }

    fun report(now: Long) {
        for (sender in 0 until instances) {
            if ((now + sender * 10) % reportMillis == 0L) send(sender, now)
        }
    }

    private fun send(sender: Int, now: Long) {
        for ((other, cap) in caps.withIndex()) {
            if (other != sender) cap.takeRemote("$sender", unreported[sender], now)
        }
        unreported[sender] = 0.0
    }
}

private fun busiest(admitted: List<Pair<Long, Double>>): Double {
    var sum = 0.0
    var first = 0
    var most = 0.0
    for ((at, cost) in admitted) {
        sum += cost
        while (admitted[first].first < at - 8_000) sum -= admitted[first++].second
        most = maxOf(most, sum)
    }
    return most
}
