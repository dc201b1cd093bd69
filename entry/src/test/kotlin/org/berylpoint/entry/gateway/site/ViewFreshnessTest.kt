package org.berylpoint.entry.gateway.site

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What instances know of the age of their view of the site. */
class ViewFreshnessTest :
    FunSpec({
        // Guards against sound instances that refuse requests, since their view looks old between two calls.
        test("the view of each instance is known to be current all the time, although few call the store") {
            runTest {
                val instances = following(FakeTables(this), perDomain = 4)
                repeat(100) {
                    delay(100.milliseconds)
                    instances.all.filter { it.freshness.isOld }.map { it.name }.shouldBeEmpty()
                }
            }
        }

        // Guards against requests to departed servers and by old configurations (DRAIN, CONFIG): an instance without
        // processor time sent them by the view that it had, and could not tell how old that was.
        test("an instance that gets no turns finds its view out of date before a departure has to be known") {
            runTest {
                val tables = FakeTables(this)
                val instances = following(tables, perDomain = 3)
                val late = instances.all.first { !it.isReader }
                late.lagMillis = 2_000
                tables.starved += late.name
                tables.put("servers", "s1", FollowingInstances.server(state = "draining"))
                delay(CHANGE_TIME)
                (late.uses("s1") to late.freshness.isOutOfDate) shouldBe (true to true)
                late.lagMillis = 0
                delay(1.seconds)
                (late.uses("s1") to late.freshness.isOutOfDate) shouldBe (false to false)
            }
        }

        // Guards against an instance that goes on by an old view although its peers tell it that they have a newer one.
        test("an instance that lacks a change of its peers for long finds its view out of date") {
            runTest {
                val tables = FakeTables(this)
                val instances = following(tables, perDomain = 1)
                val (behind, ahead) = instances.all
                tables.rejected += behind.name
                delay(1.seconds)
                behind.receive(ahead.report().copy(revisions = mapOf("servers" to 1_000, "op" to 0)))
                behind.watcher.isBehindPeers shouldBe true
                ahead.kill()
                delay(CHANGE_TIME)
                behind.freshness.isOutOfDate shouldBe true
            }
        }

        // Guards against a site that stops serving when its store does.
        test("in an outage of the store requests are served by what is known") {
            runTest {
                val tables = FakeTables(this)
                val instances = following(tables, perDomain = 3)
                tables.rejected += instances.all.map { it.name }
                delay(10.seconds)
                instances.all.map { it.freshness.isOld to it.freshness.isOutOfDate }.distinct() shouldBe
                    listOf(true to false)
            }
        }

        // Guards against a site on small machines that refuses everything when its store is down: an instance that gets
        // its turns late could not tell that its view is old for want of the store.
        test("in an outage of the store an instance that gets its turns late serves by what is known") {
            runTest {
                val tables = FakeTables(this)
                val instances = following(tables, perDomain = 3)
                tables.rejected += instances.all.map { it.name }
                delay(10.seconds)
                val late = instances.all.first()
                late.lagMillis = 600
                late.freshness.isOutOfDate shouldBe false
            }
        }

        test("instances that the store turns away know from their peers that their view is current") {
            runTest {
                val tables = FakeTables(this)
                val instances = following(tables, perDomain = 2)
                tables.rejected += instances.all.filter { it.domain == "a" }.map { it.name }
                delay(5.seconds)
                instances.all.maxOf { it.watcher.viewAgeMillis!! } shouldBeLessThan CHANGE_TIME.inWholeMilliseconds
            }
        }
    })

/** Time in which a change has to be in force, as [FollowingInstances] have it. */
private val CHANGE_TIME = 2.seconds

private suspend fun TestScope.following(tables: FakeTables, perDomain: Int): FollowingInstances {
    repeat(4) { tables.put("servers", "s$it", FollowingInstances.server()) }
    return FollowingInstances(this, tables, perDomain).also { delay(3.seconds) }
}
