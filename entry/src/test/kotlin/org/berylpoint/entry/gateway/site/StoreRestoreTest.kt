package org.berylpoint.entry.gateway.site

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainOnly
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Instances that follow a store which is restored from a copy of itself that is some seconds old. */
@OptIn(ExperimentalCoroutinesApi::class)
class StoreRestoreTest :
    FunSpec({
        // Guards against withdrawn keys and dropped routes that are accepted again (CONFIG), and against instances that
        // take no answer of the restored store for want of high enough revisions.
        test("a configuration that the copy shows in an older version stays in force until a newer one comes") {
            runTest {
                val site = RestoredSite(this)
                site.run(written = { put("op", "config", FollowingInstances.config(7)) })
                repeat(30) {
                    site.instances.all.map { it.configVersion } shouldContainOnly listOf(7)
                    delay(100.milliseconds)
                }
                site.tables.put("op", "config", FollowingInstances.config(6))
                delay(RestoredSite.CONVERGENCE_TIME)
                site.instances.all.map { it.configVersion } shouldContainOnly listOf(7)
                site.tables.put("op", "config", FollowingInstances.config(8))
                delay(RestoredSite.CONVERGENCE_TIME)
                site.instances.all.map { it.configVersion } shouldContainOnly listOf(8)
            }
        }

        // Guards against refusals for want of servers that registered after the copy was taken.
        test("a server that the copy lacks is kept for the grace period, and longer if it registers again") {
            runTest {
                val site = RestoredSite(this)
                site.run(written = {
                    put("servers", "new", FollowingInstances.server())
                    put("servers", "lost", FollowingInstances.server())
                })
                delay(1_900.milliseconds)
                site.usersOf("new", "lost") shouldBe listOf(4, 4)
                site.tables.put("servers", "new", FollowingInstances.server())
                delay(2.seconds)
                site.usersOf("new", "lost") shouldBe listOf(4, 0)
            }
        }

        // Guards against requests to departed servers (DRAIN) whose entries the copy brings back.
        test("a server that had left stays removed until it registers again in the new era") {
            runTest {
                val site = RestoredSite(this)
                site.run(written = { delete("servers", "s1") })
                repeat(40) {
                    site.usersOf("s1") shouldBe listOf(0)
                    delay(100.milliseconds)
                }
                site.tables.put("servers", "s1", FollowingInstances.server())
                delay(RestoredSite.CONVERGENCE_TIME)
                site.usersOf("s1") shouldBe listOf(4)
            }
        }

        // Guards against a server that is never used again since its new entry has the number of a row of the copy.
        test("a server that had left and was started again is used although its entry may be one of the copy") {
            runTest {
                val site = RestoredSite(this)
                site.run(
                    written = { delete("servers", "s1") },
                    rewritten = { put("servers", "s1", FollowingInstances.server(startedAt = 2)) },
                )
                delay(RestoredSite.CONVERGENCE_TIME)
                site.usersOf("s1") shouldBe listOf(4)
            }
        }

        // Guards against requests to servers that drain (DRAIN), since the copy shows them as ready.
        test("a server that drains since the copy was taken goes on draining") {
            runTest {
                val site = RestoredSite(this)
                site.run(written = { put("servers", "s1", FollowingInstances.server(state = "draining")) })
                repeat(40) {
                    site.usersOf("s1") shouldBe listOf(0)
                    delay(100.milliseconds)
                }
                site.tables.put("servers", "s1", FollowingInstances.server())
                delay(RestoredSite.CONVERGENCE_TIME)
                site.usersOf("s1") shouldBe listOf(4)
            }
        }

        // Guards against added routes that are refused and withdrawn keys that are taken (CONFIG): the operators write
        // a newer configuration before any instance has reached the restored store, so its number may be one of the
        // copy.
        test("a configuration that is written before the first answer of the restored store is in force") {
            runTest {
                val site = RestoredSite(this)
                site.run(
                    written = { put("op", "config", FollowingInstances.config(7)) },
                    rewritten = {
                        put("op", "config", FollowingInstances.config(8))
                        put("servers", "s1", FollowingInstances.server())
                    },
                )
                delay(RestoredSite.CONVERGENCE_TIME)
                site.instances.all.map { it.configVersion } shouldContainOnly listOf(8)
            }
        }

        // Guards against requests to a server that leaves (DRAIN): it says so before any instance has reached the
        // restored store, and its entry before was lost, so the number of the one that says so may be one of the copy.
        test("a server that begins to drain before the first answer of the restored store gets nothing") {
            runTest {
                val site = RestoredSite(this)
                site.run(
                    written = { put("servers", "s1", FollowingInstances.server(sequence = 7)) },
                    rewritten = {
                        put("servers", "s1", FollowingInstances.server(state = "draining", sequence = 8))
                        put("servers", "s2", FollowingInstances.server())
                    },
                )
                delay(RestoredSite.CONVERGENCE_TIME)
                site.usersOf("s1", "s2") shouldBe listOf(0, 4)
            }
        }

        // Guards against the same for a server that was started again, and whose process before was the last one known.
        test("a server that is started again before the first answer of the restored store is known as it is") {
            runTest {
                val site = RestoredSite(this)
                site.run(
                    written = { put("servers", "s1", FollowingInstances.server(startedAt = 2, sequence = 7)) },
                    rewritten = {
                        put("servers", "s1", FollowingInstances.server("draining", startedAt = 3, sequence = 1))
                        put("servers", "s2", FollowingInstances.server())
                    },
                )
                delay(RestoredSite.CONVERGENCE_TIME)
                site.usersOf("s1", "s2") shouldBe listOf(0, 4)
            }
        }

        // Guards against a server that is used again although it drains (DRAIN), by an entry that it wrote before.
        test("an entry of the copy that its server wrote before the one known is held back") {
            runTest {
                val site = RestoredSite(this)
                site.tables.put("servers", "s1", FollowingInstances.server(sequence = 6))
                site.run(
                    written = { put("servers", "s1", FollowingInstances.server(state = "draining", sequence = 7)) },
                    rewritten = { put("servers", "s2", FollowingInstances.server()) },
                )
                repeat(40) {
                    site.usersOf("s1") shouldBe listOf(0)
                    delay(100.milliseconds)
                }
            }
        }

        // Guards against requests in a domain that was taken out of service (EVAC), or none in one that is back.
        test("orders that the copy lacks or shows again wait for the operators to write theirs") {
            runTest {
                val site = RestoredSite(this)
                site.tables.put("op", "evacuate/back", "{}".encodeToByteArray())
                site.run(written = {
                    delete("op", "evacuate/back")
                    put("op", "evacuate/out", "{}".encodeToByteArray())
                    put("op", "evacuate/dropped", "{}".encodeToByteArray())
                })
                delay(1_900.milliseconds)
                site.outOfService() shouldContainOnly listOf(setOf("out", "dropped"))
                site.tables.put("op", "evacuate/out", "{}".encodeToByteArray())
                delay(2.seconds)
                site.outOfService() shouldContainOnly listOf(setOf("out"))
                site.tables.put("op", "evacuate/back", "{}".encodeToByteArray())
                delay(RestoredSite.CONVERGENCE_TIME)
                site.outOfService() shouldContainOnly listOf(setOf("out", "back"))
            }
        }

        // Guards against a canary that begins anew when the operators write its order again, after the servers of the
        // old version may have ended, and against an older order that replaces a newer one.
        test("a rollout order that is written again is the same order, and a later one is another") {
            runTest {
                val site = RestoredSite(this)
                site.tables.put("op", "rollout/s", rollout("v2"))
                site.run(written = { put("op", "rollout/s", rollout("v3")) })
                val before = site.rollouts().distinct().single()
                delay(1.seconds)
                site.tables.put("op", "rollout/s", rollout("v3"))
                delay(RestoredSite.CONVERGENCE_TIME)
                site.rollouts() shouldContainOnly listOf(before)
                delay(2.seconds)
                site.tables.put("op", "rollout/s", rollout("v3"))
                delay(RestoredSite.CONVERGENCE_TIME)
                (site.rollouts().distinct().single() == before) shouldBe false
            }
        }

        // Guards against an instance that stays with what it knew before the restore: the store does not serve it, and
        // its revisions are higher than those of its peers.
        test("instances that the store turns away are brought over by their peers") {
            runTest {
                val site = RestoredSite(this)
                site.run(
                    atRestore = { rejected += site.cutOff },
                    rewritten = { put("servers", "s1", FollowingInstances.server(state = "draining")) },
                )
                delay(RestoredSite.CONVERGENCE_TIME)
                site.usersOf("s1", "s2") shouldBe listOf(0, 4)
                site.tables.put("op", "evacuate/out", "{}".encodeToByteArray())
                site.tables.delete("servers", "s2")
                delay(RestoredSite.CONVERGENCE_TIME)
                site.usersOf("s2") shouldBe listOf(0)
                site.outOfService() shouldContainOnly listOf(setOf("out"))
                site.instances.all.filter { it.freshness.isOutOfDate }.map { it.name }.shouldBeEmpty()
            }
        }

        // Guards against an instance that comes back from the old era and whose rows win over those of the new one.
        test("an instance that was cut off from all and is in the old era changes nothing at its peers") {
            runTest {
                val site = RestoredSite(this)
                val away = site.instances.all[1]
                site.run(
                    atRestore = {
                        rejected += away.name
                        site.instances.isolated += away.name
                    },
                    rewritten = { put("servers", "s1", FollowingInstances.server(state = "draining")) },
                )
                delay(4.seconds)
                site.tables.put("op", "config", FollowingInstances.config(9))
                delay(RestoredSite.CONVERGENCE_TIME)
                site.instances.isolated.clear()
                delay(RestoredSite.CONVERGENCE_TIME)
                site.usersOf("s1", "s2") shouldBe listOf(0, 4)
                site.instances.all.map { it.configVersion } shouldContainOnly listOf(9)
                site.instances.all.map { it.watcher.revisions }.distinct().size shouldBe 1
            }
        }

        // Guards against a process that serves a dropped route and a withdrawn key, and sends requests to a departed
        // server, since all that it has read is the restored store.
        test("a process that starts right after the restore does not serve by what is older than its peers' view") {
            runTest {
                val site = RestoredSite(this)
                site.run(written = {
                    put("op", "config", FollowingInstances.config(7))
                    delete("servers", "s1")
                    put("servers", "new", FollowingInstances.server())
                })
                val started = site.instances.start("a9", "a")
                repeat(10) {
                    delay(100.milliseconds)
                    if (started.state.view.canServe) {
                        started.configVersion shouldBe 7
                        (started.uses("s1") to started.uses("new")) shouldBe (false to true)
                    }
                }
                started.state.view.canServe shouldBe true
            }
        }

        // Guards against a whole site that never becomes ready again: nobody is there to confirm a configuration.
        test("processes that start together after a restore serve by what the store has") {
            runTest {
                val site = RestoredSite(this)
                site.run()
                site.instances.all.forEach { it.kill() }
                delay(30.seconds)
                val started = listOf("a8", "b8").map { site.instances.start(it, it.take(1)) }
                delay(RestoredSite.CONVERGENCE_TIME)
                started.map { it.state.view.canServe to it.configVersion } shouldContainOnly listOf(true to 5L)
            }
        }

        // Guards against rules that hold for the last restore only.
        test("two restores in a row: what was known before both stays in force until it is written again") {
            runTest {
                val site = RestoredSite(this)
                val backup = site.tables.backup()
                site.run(written = {
                    put("op", "config", FollowingInstances.config(7))
                    delete("servers", "s1")
                    put("servers", "s2", FollowingInstances.server(state = "draining"))
                })
                delay(600.milliseconds)
                site.tables.put("servers", "new", FollowingInstances.server())
                delay(600.milliseconds)
                site.tables.restore(backup)
                repeat(15) {
                    site.usersOf("s1", "s2", "s3") shouldBe listOf(0, 0, 4)
                    site.instances.all.map { it.configVersion } shouldContainOnly listOf(7)
                    delay(100.milliseconds)
                }
                site.usersOf("new") shouldBe listOf(4)
                site.tables.put("servers", "s1", FollowingInstances.server())
                site.tables.put("servers", "s2", FollowingInstances.server())
                site.tables.put("op", "config", FollowingInstances.config(8))
                delay(3.seconds)
                site.usersOf("s1", "s2", "new") shouldBe listOf(4, 4, 0)
                site.instances.all.map { it.configVersion } shouldContainOnly listOf(8)
            }
        }

        // Guards against rows that an instance never reads: by the time that it asks, the restored store has issued the
        // numbers again that the instance has applied, so nothing seems to be missing.
        test("changes below a revision that was issued again are not missed") {
            runTest {
                val site = RestoredSite(this)
                site.run(
                    atRestore = { rejected += site.instances.all.map { it.name } },
                    rewritten = {
                        put("servers", "s1", FollowingInstances.server(state = "draining"))
                        repeat(40) { put("other", "k$it", ByteArray(0)) }
                    },
                )
                site.tables.rejected.clear()
                delay(RestoredSite.CONVERGENCE_TIME)
                site.usersOf("s1") shouldBe listOf(0)
            }
        }

        // Guards against servers that vanish at instances which have read the restored store: a peer that has not read
        // it yet takes all that it knows for rows that the store lacks, and sends it.
        test("a peer that reads the restored store late sends no rows from before to those that have read it") {
            runTest {
                val site = RestoredSite(this)
                site.run(atRestore = { starved += site.instances.all.take(1).map { it.name } })
                delay(6.seconds)
                site.usersOf("s0", "s1", "s2", "s3") shouldBe listOf(4, 4, 4, 4)
            }
        }

        // Guards against views that look old, or fresh for ever, because the restored store has another clock.
        context("the age of the view is known over a restore") {
            withData(nameFn = { "with a clock that steps by $it ms" }, -900_000L, 0L, 900_000L) { step ->
                runTest {
                    val site = RestoredSite(this)
                    site.run(clockStepMillis = step)
                    repeat(40) {
                        delay(100.milliseconds)
                        site.instances.all.filter { it.freshness.isOld }.map { it.name }.shouldBeEmpty()
                    }
                    site.tables.rejected += site.instances.all.map { it.name }
                    delay(5.seconds)
                    site.instances.all.filterNot { it.freshness.isOld }.map { it.name }.shouldBeEmpty()
                }
            }
        }
    })

private fun rollout(to: String) = """{"service":"s","to":"$to","duration_s":10}""".encodeToByteArray()
