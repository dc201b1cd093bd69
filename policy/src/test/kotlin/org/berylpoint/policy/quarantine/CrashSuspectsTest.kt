package org.berylpoint.policy.quarantine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class CrashSuspectsTest :
    FunSpec({
        // Guards against a prompt part that crashes one server after the other, in requests that are never alike
        // (BUDGET).
        test("a part is quarantined after three server processes crashed during requests with it") {
            val suspects = CrashSuspects()
            suspects.recordLoss(listOf("deadly"), "a@1", 0)
            suspects.recordLoss(listOf("deadly"), "b@1", 100)
            suspects.isQuarantined("deadly", 1_000) shouldBe false
            suspects.recordLoss(listOf("deadly"), "a@2", 1_000)
            suspects.isQuarantined("deadly", 2_000) shouldBe true
        }

        test("several requests that are lost with one server process count once") {
            val suspects = CrashSuspects()
            repeat(5) { suspects.recordLoss(listOf("part"), "a@1", 0) }
            suspects.isQuarantined("part", 1_000) shouldBe false
        }

        // Guards against refused sound requests (LOST): they share their first part with those that crash servers.
        test("a part with which requests are completed is not quarantined with the deadly one") {
            val suspects = CrashSuspects()
            for (i in 1..6) {
                suspects.recordLoss(listOf("first", "deadly"), "s$i@1", i * 100L)
                if (i % 2 == 0) suspects.recordCompletion(listOf("first"), i * 100L + 50)
            }
            suspects.isQuarantined("first", 2_000) shouldBe false
            suspects.isQuarantined("deadly", 2_000) shouldBe true
        }

        // Guards against refused sound requests when connections are reset by servers that live on.
        test("lost connections to processes that respond afterwards don't count") {
            val suspects = CrashSuspects()
            for (process in listOf("a@1", "b@1", "c@1")) {
                suspects.recordLoss(listOf("part"), process, 0)
                suspects.recordResponse(process, 300)
            }
            suspects.isQuarantined("part", 1_000) shouldBe false
        }

        test("responses that were under way, or of a process that was started again, don't refute a crash") {
            val suspects = CrashSuspects()
            for (process in listOf("a@1", "b@1", "c@1")) suspects.recordLoss(listOf("part"), process, 0)
            suspects.recordResponse("a@1", 20)
            suspects.recordResponse("b@1", 2_500)
            suspects.isQuarantined("part", 3_000) shouldBe true
        }

        test("a rare part is not blamed for crashes that another part explains") {
            val suspects = CrashSuspects()
            suspects.recordLoss(listOf("deadly"), "d@1", 0)
            for (process in listOf("a@1", "b@1", "c@1")) suspects.recordLoss(listOf("rare", "deadly"), process, 0)
            suspects.isQuarantined("deadly", 1_000) shouldBe true
            suspects.isQuarantined("rare", 1_000) shouldBe false
        }

        // Guards against sound requests that are refused for good (seen in tainted, seed 2): a rare part was in each of
        // the requests that had crashed servers so far.
        test("of two parts that crashed the same servers, the next request with one of them tells which is deadly") {
            val suspects = CrashSuspects()
            for (process in listOf("a@1", "b@1", "c@1")) suspects.recordLoss(listOf("rare", "deadly"), process, 0)
            suspects.quarantined(listOf("rare", "deadly"), 1_000) shouldBe "rare"
            suspects.isQuarantined("deadly", 1_000) shouldBe false
            suspects.recordLoss(listOf("deadly"), "d@1", 1_100)
            suspects.isQuarantined("deadly", 2_000) shouldBe true
            suspects.isQuarantined("rare", 2_000) shouldBe false
        }

        // Guards against a part that crashes a server for each instance, as requests with it come to any of them.
        test("crashes that different instances have seen count together") {
            val instances = List(3) { CrashSuspects() }
            instances.forEachIndexed { i, instance -> instance.recordLoss(listOf("deadly"), "s$i@1", 0) }
            exchange(instances, 500)
            instances.map { it.isQuarantined("deadly", 600) } shouldBe listOf(true, true, true)
        }

        test("a refutation reaches other instances, and older reports don't undo it") {
            val (a, b) = List(2) { CrashSuspects() }
            for (process in listOf("a@1", "b@1", "c@1")) a.recordLoss(listOf("part"), process, 0)
            val old = a.toReport(100)
            b.merge(old, 100)
            b.isQuarantined("part", 1_000) shouldBe true
            a.recordCompletion(listOf("part"), 1_100)
            b.merge(a.toReport(1_200), 1_200)
            b.merge(old, 1_300)
            b.isQuarantined("part", 1_400) shouldBe false
        }

        test("a report holds the parts with most crashes") {
            val suspects = CrashSuspects()
            for (i in 1..3) suspects.recordLoss(listOf("deadly"), "s$i@1", 0)
            suspects.recordLoss((1..100).map { "rare$it" }, "x@1", 10)
            val report = suspects.toReport(100)
            report.keys.first() shouldBe "deadly"
            (report.size <= 8) shouldBe true
        }

        // Guards against a deadly part that is forgotten while many sound ones are suspected.
        test("a quarantined part stays so when servers crash with many other parts") {
            val suspects = CrashSuspects()
            for (i in 1..3) suspects.recordLoss(listOf("deadly"), "s$i@1", 0)
            suspects.recordLoss((1..1_000).map { "rare$it" }, "x@1", 1_000)
            suspects.isQuarantined("deadly", 2_000) shouldBe true
        }

        test("a quarantined part is tried again once in a while, and is free after a completion") {
            val suspects = CrashSuspects()
            for (i in 1..3) suspects.recordLoss(listOf("part"), "s$i@1", 0)
            suspects.tryRelease("part", 20_000) shouldBe false
            suspects.tryRelease("part", 31_000) shouldBe true
            suspects.tryRelease("part", 32_000) shouldBe false
            suspects.recordCompletion(listOf("part"), 33_000)
            suspects.isQuarantined("part", 33_000) shouldBe false
        }

        test("crashes are forgotten in time, also where other instances report them in turns") {
            val instances = List(2) { CrashSuspects() }
            for (i in 1..3) instances[0].recordLoss(listOf("part"), "s$i@1", 0)
            for (now in 0L..700_000 step 50_000) exchange(instances, now)
            instances.map { it.isQuarantined("part", 700_000) } shouldBe listOf(false, false)
            instances.map { it.toReport(700_000).size } shouldBe listOf(0, 0)
        }
    })

private fun CrashSuspects.isQuarantined(part: String, nowMillis: Long) = quarantined(listOf(part), nowMillis) != null

private fun exchange(instances: List<CrashSuspects>, nowMillis: Long) {
    val reports = instances.map { it.toReport(nowMillis) }
    for (instance in instances) reports.forEach { instance.merge(it, nowMillis) }
}
