package org.berylpoint.entry.gateway.site

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainOnly
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.berylpoint.entry.KnownRed
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What becomes of rows from before a restore of the store that instances tell each other of. */
@OptIn(ExperimentalCoroutinesApi::class)
class RetainedRowsTest :
    FunSpec({
        // Guards against requests to a departed server (DRAIN): instances give up what a restore has lost at moments of
        // their own, and took it back from those that had not done so yet.
        test("a server and an order that nobody writes again after a restore are given up for good") {
            runTest {
                val site = RestoredSite(this)
                for (name in listOf("a7", "b7", "a8", "b8")) {
                    delay(130.milliseconds)
                    site.instances.start(name, name.take(1))
                }
                site.run(written = {
                    put("servers", "lost", FollowingInstances.server())
                    put("op", "evacuate/lost", "{}".encodeToByteArray())
                })
                delay(3.seconds)
                repeat(100) {
                    site.usersOf("lost", "s1") shouldBe listOf(0, 8)
                    site.outOfService() shouldContainOnly listOf(emptySet())
                    delay(50.milliseconds)
                }
            }
        }

        // Guards against an order that ends although the operators want it (EVAC): instances that go by the one of the
        // copy, since no other came, took an older state of it from a peer, and then gave that up too.
        test("an order that the copy shows in an older state is in force when it is not written again") {
            runTest {
                val site = RestoredSite(this)
                for (name in listOf("a7", "b7", "a8", "b8")) {
                    delay(130.milliseconds)
                    site.instances.start(name, name.take(1))
                }
                site.tables.put("op", "evacuate/out", "{}".encodeToByteArray())
                site.run(written = { put("op", "evacuate/out", "{}".encodeToByteArray()) })
                repeat(100) {
                    site.outOfService() shouldContainOnly listOf(setOf("out"))
                    delay(50.milliseconds)
                }
            }
        }

        // Guards against requests in a domain that is out of service (EVAC): its return is the last thing known, and
        // the new order is written before any instance has reached the restored store, so it may be one of the copy.
        test("an order that is written before the first answer is in force although an earlier one had ended") {
            runTest {
                val site = RestoredSite(this)
                site.tables.put("op", "evacuate/back", "{}".encodeToByteArray())
                site.run(
                    written = {
                        put("op", "evacuate/again", "{}".encodeToByteArray())
                        delete("op", "evacuate/again")
                        delete("op", "evacuate/back")
                    },
                    rewritten = {
                        put("op", "evacuate/again", "{}".encodeToByteArray())
                        put("servers", "s1", FollowingInstances.server())
                    },
                )
                val started = site.instances.start("a9", "a")
                delay(3.seconds)
                site.outOfService() shouldContainOnly listOf(setOf("again"))
                started.state.view.canServe shouldBe true
                delay(3.seconds)
                site.outOfService() shouldContainOnly listOf(setOf("again"))
            }
        }

        // Guards against requests in a domain that is out of service (EVAC): the new order is given the very number of
        // the one that had ended, so it looks like that one, as the copy may show it.
        test("an order is in force although it has the number of an earlier one that had ended").config(
            tags = setOf(KnownRed),
        ) {
            runTest {
                val site = RestoredSite(this)
                delay(3.seconds)
                val backup = site.tables.backup()
                site.tables.put("op", "evacuate/again", "{}".encodeToByteArray())
                site.tables.delete("op", "evacuate/again")
                delay(1.seconds)
                site.tables.restore(backup)
                site.tables.put("op", "evacuate/again", "{}".encodeToByteArray())
                site.tables.put("servers", "s1", FollowingInstances.server())
                delay(5.seconds)
                site.outOfService() shouldContainOnly listOf(setOf("again"))
            }
        }
    })
