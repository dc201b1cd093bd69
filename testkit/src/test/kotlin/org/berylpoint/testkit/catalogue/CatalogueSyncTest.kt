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

private suspend fun CatalogueTestCluster.commitUpdates(count: Int) {
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
        test("a start-up reads the newest snapshot and the changes after it, not the whole history") {
            runTest {
                val cluster = CatalogueTestCluster(this, seed = 1, count = 4)
                delay(3.seconds)
                cluster.commitUpdates(250)
                delay(5.seconds)
                cluster.objects.content.keys.map { it.substringAfterLast('/').toLong() }.sorted() shouldBe
                    listOf(100L, 200L)
                val expected = cluster.node("n0").sync.current.value
                cluster.alive.forEach { it.machine.kill() }
                val started = cluster.start("later", domains[1])
                delay(4.seconds)
                started.sync.current.value shouldBe expected
                // One query returns the page of 50 changes after the snapshot; 250 changes would take three pages. The
                // start-up and the two polls read the head with get calls.
                cluster.table.faults.count("query", InstanceId("later")) shouldBe 1
            }
        }

        test("a start-up with missing or damaged snapshots still loads the newest version") {
            listOf<CatalogueTestCluster.() -> Unit>(
                { objects.faults.all = Fault.DOWN },
                { objects.faults.rule = { if (it.isWrite) Fault.CALLS_LOST else Fault.NONE } },
            ).forEach { fault ->
                runTest {
                    val cluster = CatalogueTestCluster(this, seed = 2, count = 4)
                    delay(3.seconds)
                    cluster.fault()
                    cluster.commitUpdates(250)
                    cluster.alive.forEach { it.machine.kill() }
                    val started = cluster.start("later", domains[1])
                    delay(10.seconds)
                    started.version shouldBe 250
                }
            }
            runTest {
                val cluster = CatalogueTestCluster(this, seed = 3, count = 4)
                delay(3.seconds)
                cluster.commitUpdates(210)
                delay(5.seconds)
                cluster.objects.content.keys.forEach { cluster.objects.put(it, "{damaged") }
                cluster.alive.forEach { it.machine.kill() }
                val started = cluster.start("later", domains[1])
                delay(10.seconds)
                started.version shouldBe 210
            }
        }

        test("a peer a few versions behind is sent the updates, one many versions behind the whole catalogue") {
            runTest {
                val cluster = CatalogueTestCluster(this, seed = 4, count = 4)
                delay(3.seconds)
                cluster.commitUpdates(250)
                val sync = cluster.node("n0").sync
                sync.fetch(known = 250) shouldBe CatalogueData(null)
                sync.fetch(known = 251) shouldBe CatalogueData(null)
                sync.fetch(known = 245).updates.map { it.expectedVersion } shouldBe (245L..249L).toList()
                sync.fetch(known = 3).catalogue?.version shouldBe 250
                sync.fetch(known = -1).catalogue?.version shouldBe 250
            }
        }

        test("an older catalogue or updates with a gap from a peer are ignored") {
            runTest {
                val cluster = CatalogueTestCluster(this, seed = 5, count = 4)
                delay(3.seconds)
                val older = cluster.node("n1").sync.current.value
                cluster.commitUpdates(5)
                delay(1.seconds)
                val sync = cluster.node("n1").sync
                sync.handle(InstanceId("n0"), CatalogueData(older))
                sync.current.value?.version shouldBe 5
                val updatesWithGap = sync.fetch(known = 4).updates.map { it.copy(expectedVersion = 7) }
                sync.handle(InstanceId("n0"), CatalogueData(null, updatesWithGap))
                sync.current.value?.version shouldBe 5
            }
        }

        test("an update larger than a table row is rejected without a write") {
            runTest {
                val cluster = CatalogueTestCluster(this, seed = 6, count = 4)
                delay(3.seconds)
                val before = cluster.table.faults.count("transact")
                val large = CatalogueUpdate(0, listOf(put("v1")), author = "x".repeat(400_000))
                cluster.node("n0").sync.submit(large).fold({ it.kind to it.detail }, { null }).let {
                    it?.first shouldBe ErrorKind.InvalidCatalogue
                    it?.second.orEmpty() shouldContain "split it"
                }
                cluster.table.faults.count("transact") shouldBe before
            }
        }

        test("a domain without servers in the catalogue is accepted if it has entry instances") {
            runTest {
                val cluster = CatalogueTestCluster(this, seed = 7, count = 4)
                delay(3.seconds)
                cluster.node("n0").submit(CatalogueChange.TakeOut(domains[2])).isRight() shouldBe true
                cluster.node("n0").submit(CatalogueChange.TakeOut(FailureDomain("nowhere")))
                    .fold({ it.kind }, { null }) shouldBe ErrorKind.InvalidCatalogue
            }
        }

        test("confirmations show a paused instance behind until it has the version") {
            runTest {
                val cluster = CatalogueTestCluster(this, seed = 8, count = 8)
                delay(3.seconds)
                cluster.node("n5").machine.pause()
                val version = cluster.node("n0").submit(put("v1")).fold({ error("$it") }, { it })
                delay(1.seconds)
                fun laggingIds() = cluster.node("n0").sync.confirmations()
                    .filterValues { it < version }.keys.map { it.value }
                laggingIds() shouldBe listOf("n5")
                cluster.node("n5").machine.resume()
                delay(2.seconds)
                laggingIds() shouldBe emptyList()
            }
        }

        test("only two instances of each failure domain poll the table") {
            runTest {
                val cluster = CatalogueTestCluster(this, seed = 9, count = 16)
                delay(5.seconds)
                val before = cluster.table.faults.count("get")
                delay(60.seconds)
                val reads = cluster.table.faults.count("get") - before
                // Eight pollers with one read per second each; the jitter averages out except for a few reads.
                withClue("reads in 60 s: $reads") { (reads in 400L..520L) shouldBe true }
            }
        }

        test("each version is in force on sixty instances within 4 s without a push to all of them") {
            var longest = Duration.ZERO
            runTest {
                val cluster = CatalogueTestCluster(this, seed = 10, count = 60)
                delay(10.seconds)
                repeat(5) { round ->
                    val sent = cluster.alive.sumOf { it.machine.network.messagesSent }
                    val start = cluster.rig.time.markNow()
                    val version = cluster.node("n$round").submit(put("v$round")).fold({ error("$it") }, { it })
                    while (cluster.alive.any { (it.version ?: 0) < version } && start.elapsedNow() < 30.seconds) {
                        delay(10.milliseconds)
                    }
                    longest = maxOf(longest, start.elapsedNow())
                    withClue("messages") {
                        cluster.alive.sumOf { it.machine.network.messagesSent } - sent shouldBeLessThan 10_000
                    }
                    delay(2.seconds)
                }
                longest shouldBeLessThanOrEqualTo 4.seconds
                cluster.versionRegressions().shouldBeEmpty()
            }
            println("catalogue at 60 instances: longest time until in force $longest")
        }
    })
