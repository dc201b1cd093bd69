package org.berylpoint.testkit.catalogue

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.berylpoint.entry.catalogue.CatalogueSync
import org.berylpoint.model.CatalogueChange
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.InstanceId
import org.berylpoint.peer.PeerMessage.CatalogueData
import org.berylpoint.peer.PeerMessage.FetchCatalogue
import org.berylpoint.testkit.catalogue.CatalogueTestCluster.Companion.domains
import org.berylpoint.testkit.catalogue.CatalogueTestCluster.Companion.put
import org.berylpoint.testkit.standin.Fault
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private suspend fun CatalogueTestCluster.commitMany(count: Int) {
    val domain = domains[0]
    val node = node("n0")
    node.submit(put("v1")).isRight() shouldBe true
    repeat(count - 1) { round ->
        val change = if (round % 2 == 0) CatalogueChange.TakeOut(domain) else CatalogueChange.BringBack(domain)
        withClue(round) { node.submit(change).isRight() shouldBe true }
    }
}

private fun CatalogueSync.fetch(known: Long): CatalogueData =
    handle(InstanceId("asker"), FetchCatalogue(known)) as CatalogueData

class CatalogueSyncTest :
    FunSpec({
        test("a start reads the newest snapshot and the changes since, not the whole history") {
            runTest {
                val site = CatalogueTestCluster(this, seed = 1, count = 4)
                delay(3.seconds)
                site.commitMany(250)
                delay(5.seconds)
                site.objects.content.keys.map { it.substringAfterLast('/').toLong() }.sorted() shouldBe
                    listOf(100L, 200L)
                val expected = site.node("n0").sync.current.value
                site.alive.forEach { it.machine.kill() }
                val started = site.start("later", domains[1])
                delay(4.seconds)
                started.sync.current.value shouldBe expected
                // The head, one page of 50 changes and the two polls' heads; 250 changes would take three pages.
                site.table.faults.count("query", InstanceId("later")) shouldBe 1
            }
        }

        test("snapshots that are missing or damaged cost time, not versions") {
            listOf<CatalogueTestCluster.() -> Unit>(
                { objects.faults.all = Fault.DOWN },
                { objects.faults.rule = { if (it.isWrite) Fault.CALLS_LOST else Fault.NONE } },
            ).forEach { fault ->
                runTest {
                    val site = CatalogueTestCluster(this, seed = 2, count = 4)
                    delay(3.seconds)
                    site.fault()
                    site.commitMany(250)
                    site.alive.forEach { it.machine.kill() }
                    val started = site.start("later", domains[1])
                    delay(10.seconds)
                    started.version shouldBe 250
                }
            }
            runTest {
                val site = CatalogueTestCluster(this, seed = 3, count = 4)
                delay(3.seconds)
                site.commitMany(210)
                delay(5.seconds)
                site.objects.content.keys.forEach { site.objects.put(it, "{damaged") }
                site.alive.forEach { it.machine.kill() }
                val started = site.start("later", domains[1])
                delay(10.seconds)
                started.version shouldBe 210
            }
        }

        test("a peer that lacks a few versions gets the updates, one that lacks many gets the catalogue") {
            runTest {
                val site = CatalogueTestCluster(this, seed = 4, count = 4)
                delay(3.seconds)
                site.commitMany(250)
                val sync = site.node("n0").sync
                sync.fetch(known = 250) shouldBe CatalogueData(null)
                sync.fetch(known = 251) shouldBe CatalogueData(null)
                sync.fetch(known = 245).updates.map { it.expectedVersion } shouldBe (245L..249L).toList()
                sync.fetch(known = 3).catalogue?.version shouldBe 250
                sync.fetch(known = -1).catalogue?.version shouldBe 250
            }
        }

        test("a peer's older catalogue or a gap in its updates changes nothing") {
            runTest {
                val site = CatalogueTestCluster(this, seed = 5, count = 4)
                delay(3.seconds)
                val early = site.node("n1").sync.current.value
                site.commitMany(5)
                delay(1.seconds)
                val sync = site.node("n1").sync
                sync.handle(InstanceId("n0"), CatalogueData(early))
                sync.current.value?.version shouldBe 5
                val gap = sync.fetch(known = 4).updates.map { it.copy(expectedVersion = 7) }
                sync.handle(InstanceId("n0"), CatalogueData(null, gap))
                sync.current.value?.version shouldBe 5
            }
        }

        test("an update that no row can hold is refused before it is sent") {
            runTest {
                val site = CatalogueTestCluster(this, seed = 6, count = 4)
                delay(3.seconds)
                val before = site.table.faults.count("transact")
                val large = CatalogueUpdate(0, listOf(put("v1")), author = "x".repeat(400_000))
                site.node("n0").sync.submit(large).fold({ it.kind to it.detail }, { null }).let {
                    it?.first shouldBe ErrorKind.InvalidCatalogue
                    it?.second.orEmpty() shouldContain "split it"
                }
                site.table.faults.count("transact") shouldBe before
            }
        }

        test("a domain without servers of the catalogue is known from its entry instances") {
            runTest {
                val site = CatalogueTestCluster(this, seed = 7, count = 4)
                delay(3.seconds)
                site.node("n0").submit(CatalogueChange.TakeOut(domains[2])).isRight() shouldBe true
                site.node("n0").submit(CatalogueChange.TakeOut(FailureDomain("nowhere")))
                    .fold({ it.kind }, { null }) shouldBe ErrorKind.InvalidCatalogue
            }
        }

        test("confirmations name a frozen instance until it has caught up") {
            runTest {
                val site = CatalogueTestCluster(this, seed = 8, count = 8)
                delay(3.seconds)
                site.node("n5").machine.pause()
                val version = site.node("n0").submit(put("v1")).fold({ error("$it") }, { it })
                delay(1.seconds)
                fun late() = site.node("n0").sync.confirmations().filterValues { it < version }.keys.map { it.value }
                late() shouldBe listOf("n5")
                site.node("n5").machine.resume()
                delay(2.seconds)
                late() shouldBe emptyList()
            }
        }

        test("the table is read by two instances of each domain only") {
            runTest {
                val site = CatalogueTestCluster(this, seed = 9, count = 16)
                delay(5.seconds)
                val before = site.table.faults.count("get")
                delay(60.seconds)
                val reads = site.table.faults.count("get") - before
                // Eight pollers with one read a second each; the jitter averages out but for a few reads.
                withClue("reads in 60 s: $reads") { (reads in 400L..520L) shouldBe true }
            }
        }

        test("a site of sixty instances has each version in force in time without a push to all") {
            var longest = Duration.ZERO
            runTest {
                val site = CatalogueTestCluster(this, seed = 10, count = 60)
                delay(10.seconds)
                repeat(5) { round ->
                    val sent = site.alive.sumOf { it.machine.network.messagesSent }
                    val start = site.rig.time.markNow()
                    val version = site.node("n$round").submit(put("v$round")).fold({ error("$it") }, { it })
                    while (site.alive.any { (it.version ?: 0) < version } && start.elapsedNow() < 30.seconds) {
                        delay(10.milliseconds)
                    }
                    longest = maxOf(longest, start.elapsedNow())
                    withClue("messages") {
                        site.alive.sumOf { it.machine.network.messagesSent } - sent shouldBeLessThan 10_000
                    }
                    delay(2.seconds)
                }
                longest shouldBeLessThanOrEqualTo 4.seconds
                site.versionRegressions().shouldBeEmpty()
            }
            println("catalogue at 60 instances: longest time to force $longest")
        }
    })
