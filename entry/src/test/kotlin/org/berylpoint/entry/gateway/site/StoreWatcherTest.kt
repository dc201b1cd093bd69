package org.berylpoint.entry.gateway.site

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class StoreWatcherTest :
    FunSpec({
        // Guards against requests to a departed server (DRAIN): a deletion that instances find by reading the table
        // again has no revision, so the other instances of their failure domains did not notice that they were behind.
        test("a departure in a lost part of the history reaches every instance") {
            runTest {
                val tables = FakeTables(this)
                repeat(3) { tables.put("servers", "s$it", FollowingInstances.server()) }
                val instances = FollowingInstances(this, tables, perDomain = 3)
                delay(3.seconds)
                instances.all.count { it.uses("s1") } shouldBe 6
                tables.isSilent = true
                delay(200.milliseconds)
                tables.delete("servers", "s1")
                delay(800.milliseconds)
                tables.dropHistory()
                tables.isSilent = false
                delay(4.seconds)
                instances.all.filter { it.uses("s1") }.map { it.name } shouldBe emptyList()
            }
        }

        // Guards against requests to a departed server (DRAIN): the feeds are cut when the history is dropped, and the
        // failed call put every departure off.
        test("a departure in a lost part of the history is known within the time that servers take requests") {
            runTest {
                val tables = FakeTables(this)
                repeat(3) { tables.put("servers", "s$it", FollowingInstances.server()) }
                val instances = FollowingInstances(this, tables, perDomain = 3)
                delay(3.seconds)
                tables.isSilent = true
                tables.delete("servers", "s1")
                delay(1.seconds)
                tables.dropHistory()
                tables.isSilent = false
                delay(DRAIN_TIME - 1.seconds)
                instances.all.filter { it.uses("s1") }.map { it.name } shouldBe emptyList()
            }
        }
    })

/** Time from the confirmation of a departure in which servers still take requests. */
private val DRAIN_TIME = 2.seconds
