package org.berylpoint.entry.gateway.site

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.berylpoint.peer.RowPart
import org.berylpoint.peer.RowsPart
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class StoreWatcherTest :
    FunSpec({
        // Guards against requests to a departed server (DRAIN): a deletion that instances find by reading the table
        // again has no revision, so the other instances of their failure domains did not notice that they were behind.
        test("a departure in a lost part of the history reaches every instance") {
            runTest {
                val instances = instancesBeforeLostDeparture()
                delay(4_800.milliseconds)
                instances.all.filter { it.uses("s1") }.map { it.name } shouldBe emptyList()
            }
        }

        // Guards against requests to a departed server (DRAIN): the feeds are cut when the history is dropped, and the
        // failed call put every departure off.
        test("a departure in a lost part of the history is known within the time that servers take requests") {
            runTest {
                val instances = instancesBeforeLostDeparture()
                delay(DRAIN_TIME)
                instances.all.filter { it.uses("s1") }.map { it.name } shouldBe emptyList()
            }
        }

        // Guards against requests to a departed server (DRAIN): an instance that the store turned away while it read
        // the feeds for its failure domain learned of a departure only when the store served it again.
        test("instances that the store turns away learn of departures from their peers") {
            runTest {
                val tables = FakeTables(this)
                val instances = instancesThatFollow(tables, perDomain = 2)
                tables.rejected += instances.all.filter { it.domain == "a" }.map { it.name }
                delay(1.seconds)
                tables.put("servers", "s1", FollowingInstances.server(state = "draining"))
                delay(1.seconds)
                tables.delete("servers", "s2")
                delay(1.seconds)
                instances.all.filter { it.uses("s1") || it.uses("s2") }.map { it.name } shouldBe emptyList()
                tables.rejected.clear()
                tables.put("servers", "s1", FollowingInstances.server())
                delay(2.seconds)
                instances.all.count { it.uses("s1") } shouldBe 4
            }
        }

        // Guards against requests to departed servers and with withdrawn keys (DRAIN, CONFIG): instances that lived on
        // waited for rows from those that read the feeds for them, which were killed together.
        test("instances learn of changes although all that read the feeds are gone") {
            runTest {
                val tables = FakeTables(this)
                repeat(3) { tables.put("servers", "s$it", FollowingInstances.server()) }
                val instances = FollowingInstances(this, tables, perDomain = 3)
                delay(3.seconds)
                val (readers, others) = instances.all.partition { it.isReader }
                readers.size shouldBe 2
                readers.forEach { it.kill() }
                tables.put("servers", "s1", FollowingInstances.server(state = "draining"))
                tables.delete("servers", "s2")
                tables.put("op", "evacuate/z", "{}".encodeToByteArray())
                delay(DRAIN_TIME)
                others.filter { it.uses("s1") || it.uses("s2") }.map { it.name } shouldBe emptyList()
                others.map { it.state.view.outOfServiceDomains.size }.distinct() shouldBe listOf(1)
            }
        }

        // Guards against requests to departed servers (DRAIN): those that read the feeds for all others are heard, but
        // their own calls take seconds, so the others learned of a departure when these had read it.
        test("instances learn of changes although all that read the feeds are short of processor time") {
            runTest {
                val tables = FakeTables(this)
                val instances = instancesThatFollow(tables, perDomain = 3)
                val (readers, others) = instances.all.partition { it.isReader }
                tables.starved += readers.map { it.name }
                delay(1.seconds)
                tables.put("servers", "s1", FollowingInstances.server(state = "draining"))
                delay(DRAIN_TIME)
                others.filter { it.uses("s1") }.map { it.name } shouldBe emptyList()
            }
        }

        // Guards against requests to departed servers and with withdrawn keys (DRAIN, CONFIG): an instance that is
        // short of processor time learned of a change that it had missed only by a call, which takes it seconds.
        test("an instance whose own calls take long learns from its peers what it has missed") {
            runTest {
                val tables = FakeTables(this)
                val instances = instancesThatFollow(tables, perDomain = 3)
                val starved = instances.all.first { !it.isReader }
                tables.starved += starved.name
                starved.losesForwardedRows = true
                tables.put("servers", "s1", FollowingInstances.server(state = "draining"))
                tables.delete("servers", "s2")
                delay(1.seconds)
                (starved.uses("s1") to starved.uses("s2")) shouldBe (false to false)
            }
        }

        // Guards against departures that an instance learns of only from the store (DRAIN): peers that had read a table
        // anew knew no changes from before that, and sent nothing to those that the store turned away.
        test("instances that the store turns away learn of what their peers have found by reading a table anew") {
            runTest {
                val tables = FakeTables(this)
                val instances = instancesThatFollow(tables, perDomain = 2)
                tables.rejected += instances.all.filter { it.domain == "a" }.map { it.name }
                delay(1.seconds)
                tables.isSilent = true
                tables.delete("servers", "s1")
                tables.put("servers", "s2", FollowingInstances.server(state = "draining"))
                tables.dropHistory()
                tables.isSilent = false
                delay(DRAIN_TIME)
                instances.all.filter { it.uses("s1") || it.uses("s2") }.map { it.name } shouldBe emptyList()
            }
        }

        // Guards against an instance that stays behind its peers for good, since nothing has changed that they could
        // send it (CONFIG, DRAIN): it could not tell that from a change which it had missed.
        test("an instance that the store turns away keeps up with peers that read a table anew without a change") {
            runTest {
                val tables = FakeTables(this)
                val instances = instancesThatFollow(tables, perDomain = 2)
                tables.rejected += instances.all.filter { it.domain == "a" }.map { it.name }
                delay(1.seconds)
                tables.put("other", "x", ByteArray(0))
                tables.dropHistory()
                delay(DRAIN_TIME)
                instances.all.map { it.watcher.revisions["servers"] }.distinct().size shouldBe 1
            }
        }

        // Guards against domains out of service, withdrawn keys and departures that an instance never learns of (EVAC,
        // CONFIG, DRAIN): peers sent it only changes of tables that had changed shortly before they were read.
        test("instances that the store turns away learn of the first change of a quiet table") {
            runTest {
                val tables = FakeTables(this)
                val instances = instancesThatFollow(tables, perDomain = 2)
                tables.rejected += instances.all.filter { it.domain == "a" }.map { it.name }
                delay(1.seconds)
                tables.put("op", "evacuate/z", "{}".encodeToByteArray())
                delay(1.seconds)
                instances.all.map { it.state.view.outOfServiceDomains.size } shouldBe listOf(1, 1, 1, 1)
            }
        }

        // Guards against a departed server that is used again, since a peer sent an older change of its entry.
        test("a row from before an instance's own read does not bring a server back") {
            runTest {
                val tables = FakeTables(this)
                tables.put("servers", "s9", FollowingInstances.server())
                tables.delete("servers", "s9")
                tables.put("other", "x", ByteArray(0))
                val instance = FollowingInstances(this, tables, perDomain = 1).all.first()
                delay(1.seconds)
                val row = RowPart("s9", FollowingInstances.server(), revision = 1, isDeleted = false)
                instance.watcher.applyForwardedRows(RowsPart("servers", after = 0, listOf(row)))
                instance.uses("s9") shouldBe false
                instance.watcher.revisions["servers"] shouldBe 1
            }
        }

        // Guards against instances that stop following the servers because another writer left one odd entry there.
        test("instances go on following the servers after an entry that can't be read") {
            runTest {
                val tables = FakeTables(this)
                tables.put("servers", "s1", FollowingInstances.server())
                val instances = FollowingInstances(this, tables, perDomain = 2)
                delay(1.seconds)
                tables.put("servers", "odd", "[".repeat(10_000).encodeToByteArray())
                tables.put("servers", "s2", FollowingInstances.server())
                delay(2.seconds)
                tables.delete("servers", "s1")
                delay(1.seconds)
                instances.all.map { it.uses("s1") to it.uses("s2") }.distinct() shouldBe listOf(false to true)
            }
        }

        // Guards against changes that are lost with one datagram while the store turns the instance away.
        test("what a peer can't read from the store is sent again until its report shows it") {
            runTest {
                val tables = FakeTables(this)
                tables.put("servers", "s1", FollowingInstances.server())
                val instance = FollowingInstances(this, tables, perDomain = 1).all.first()
                delay(1.seconds)
                val before = instance.watcher.revisions
                tables.delete("servers", "s1")
                delay(1.seconds)
                repeat(2) {
                    val part = instance.watcher.changesAfter(before).single()
                    part.rows.map { it.key to it.isDeleted } shouldBe listOf("s1" to true)
                }
                instance.watcher.changesAfter(instance.watcher.revisions) shouldBe emptyList()
                instance.watcher.changesAfter(emptyMap()) shouldBe emptyList()
            }
        }
    })

/** Instances of two failure domains that know four servers. */
private suspend fun TestScope.instancesThatFollow(tables: FakeTables, perDomain: Int): FollowingInstances {
    repeat(4) { tables.put("servers", "s$it", FollowingInstances.server()) }
    return FollowingInstances(this, tables, perDomain).also { delay(3.seconds) }
}

/** Six instances that use `s1`, which leaves now; the feeds are silent until the store drops its history 1 s later. */
@OptIn(ExperimentalCoroutinesApi::class)
private suspend fun TestScope.instancesBeforeLostDeparture(): FollowingInstances {
    val tables = FakeTables(this)
    repeat(3) { tables.put("servers", "s$it", FollowingInstances.server()) }
    val instances = FollowingInstances(this, tables, perDomain = 3)
    delay(3.seconds)
    instances.all.count { it.uses("s1") } shouldBe 6
    tables.isSilent = true
    tables.delete("servers", "s1")
    backgroundScope.launch {
        delay(1.seconds)
        tables.dropHistory()
        tables.isSilent = false
    }
    return instances
}

/** Time from the confirmation of a departure in which servers still take requests. */
private val DRAIN_TIME = 2.seconds
