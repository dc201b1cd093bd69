package org.berylpoint.testkit.proofs

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.berylpoint.model.FailureDomain
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val SEEDS = listOf(1, 2)
private val DOMAINS = mapOf("a" to 3, "b" to 2)

/** P3: a freshly started server gets no more work than it carries, counted at the server over all entry instances. */
class FreshServerTest :
    FunSpec({
        fun proof(seed: Int, callers: Int = 10, scenario: suspend TestScope.(LoadSite) -> Unit) =
            runTest(timeout = 2.minutes) {
                val site = LoadSite(this, seed, DOMAINS, callers = callers)
                scenario(site)
                println("P3 seed $seed: ${site.accepted().size} accepted, ${site.overLimit().size} over the limit")
                site.overLimit().shouldBeEmpty()
            }

        fun LoadSite.count(server: String, from: Duration, to: Duration) =
            acceptedBetween(from, to).count { it.served.server == server }

        // Guards against a limit per sender, which would give a fresh server five times its load.
        test("P3 without faults: the ramp is kept and reaches full load") {
            SEEDS.forEach { seed ->
                proof(seed) { site ->
                    delay(90.seconds)
                    site.accepted().maxOf { it.inFlight } shouldBe 8
                }
            }
        }

        // Guards against a new owner that starts at zero or at the full limit.
        test("P3 while the owner leaves") {
            SEEDS.forEach { seed ->
                proof(seed) { site ->
                    delay(12.seconds)
                    site.ownerOf("a-s1").let { it.machine.scope.launch { it.stop() } }
                    delay(30.seconds)
                    site.count("a-s1", 15.seconds, 42.seconds) shouldBeGreaterThan 15
                }
            }
        }

        // Guards against forgetting the grants of holders that outlive the owner.
        test("P3 while the owner is killed") {
            SEEDS.forEach { seed ->
                proof(seed) { site ->
                    delay(22.seconds)
                    site.ownerOf("a-s1").machine.kill()
                    delay(30.seconds)
                    site.count("a-s1", 28.seconds, 52.seconds) shouldBeGreaterThan 15
                }
            }
        }

        // Guards against an owner that goes on with its old count, and with its full limit, after it was frozen.
        test("P3 while the owner is frozen past the fence and thaws") {
            SEEDS.forEach { seed ->
                proof(seed) { site ->
                    delay(25.seconds)
                    val owner = site.ownerOf("a-s1")
                    owner.machine.pause()
                    delay(60.seconds)
                    site.count("a-s1", 60.seconds, 85.seconds) shouldBeGreaterThan 8
                    owner.machine.resume()
                    delay(30.seconds)
                    site.count("a-s1", 90.seconds, 115.seconds) shouldBeGreaterThan 15
                }
            }
        }

        // Guards against two owners of one server, each with the full limit.
        test("P3 while the owner is cut off from all other instances") {
            SEEDS.forEach { seed ->
                proof(seed) { site ->
                    delay(25.seconds)
                    val owner = site.ownerOf("a-s1")
                    site.nodes.values.filter { it !== owner }.forEach { site.rig.links.cut(owner.id, it.id) }
                    delay(60.seconds)
                    site.rig.links.heal()
                    delay(30.seconds)
                    site.count("a-s1", 90.seconds, 115.seconds) shouldBeGreaterThan 15
                }
            }
        }

        // Guards against an owner that trusts an epoch it can no longer read.
        test("P3 while the owner is cut off from the platform and from all other instances") {
            SEEDS.forEach { seed ->
                proof(seed) { site ->
                    delay(25.seconds)
                    val owner = site.ownerOf("a-s1")
                    site.cutFromPlatform(owner.id.value)
                    site.nodes.values.filter { it !== owner }.forEach { site.rig.links.cut(owner.id, it.id) }
                    delay(60.seconds)
                    site.reachPlatform(owner.id.value)
                    site.rig.links.heal()
                    delay(30.seconds)
                    site.count("a-s1", 90.seconds, 115.seconds) shouldBeGreaterThan 15
                }
            }
        }

        // Guards against a domain that stops, or halves its limits, when only the platform is away.
        test("P3 while the whole domain is cut off from the platform and from the other domain") {
            SEEDS.forEach { seed ->
                proof(seed, callers = 18) { site ->
                    delay(25.seconds)
                    site.rig.links.isolate(FailureDomain("a"))
                    (1..3).forEach { site.cutFromPlatform("a-e$it") }
                    delay(60.seconds)
                    site.acceptedBetween(45.seconds, 85.seconds).filter {
                        it.domain == "a"
                    }.maxOf { it.inFlight } shouldBe
                        8
                    site.rig.links.heal()
                    (1..3).forEach { site.reachPlatform("a-e$it") }
                    delay(30.seconds)
                }
            }
        }

        // Guards against faults that are harmless alone and not together.
        test("P3 under random faults") {
            (1..8).forEach { seed ->
                proof(seed) { site ->
                    val random = kotlin.random.Random(seed)
                    delay(10.seconds)
                    repeat(8) { step ->
                        val alive = site.nodes.values.filter { it.machine.isAlive }
                        val one = alive.random(random)
                        when (random.nextInt(6)) {
                            0 -> if (alive.size > 3) one.machine.kill()

                            1 -> if (alive.size > 3) one.machine.scope.launch { one.stop() }

                            2 -> {
                                one.machine.pause()
                                delay(random.nextInt(1, 40).seconds)
                                one.machine.resume()
                            }

                            3 -> site.rig.links.cut(one.id, alive.random(random).id)

                            4 -> site.cutFromPlatform(one.id.value)

                            else -> {
                                site.rig.links.heal()
                                site.nodes.keys.forEach { site.reachPlatform(it) }
                                site.node("n$step", listOf("a", "b").random(random))
                            }
                        }
                        delay(random.nextInt(1, 20).seconds)
                    }
                }
            }
        }

        // Guards against a warm limit on a server that became cold.
        test("P3 for a warm server that becomes cold: its load is cut within 10 s") {
            SEEDS.forEach { seed ->
                runTest(timeout = 2.minutes) {
                    val site = LoadSite(this, seed, DOMAINS, callers = 10)
                    delay(90.seconds)
                    site.backends.server("a-s1").becomeCold()
                    delay(90.seconds)
                    val over = site.overLimit()
                    println("P3 cold seed $seed: ${over.map { "${it.atMillis}:${it.inFlight}/${it.limit}" }}")
                    over.filter { it.atMillis !in 90_000..100_000 }.shouldBeEmpty()
                    site.acceptedBetween(165.seconds, 180.seconds).maxOf { it.inFlight } shouldBe 8
                }
            }
        }

        // Guards against owners that accept a limit of zero for good after all members of a domain were replaced.
        test("P3 while all instances of a domain are replaced") {
            SEEDS.forEach { seed ->
                proof(seed) { site ->
                    delay(20.seconds)
                    (1..2).forEach { site.nodes.getValue("b-e$it").machine.kill() }
                    site.node("b-e3", "b")
                    delay(5.seconds)
                    site.node("b-e4", "b")
                    delay(30.seconds)
                    site.acceptedBetween(40.seconds, 55.seconds).count { it.domain == "b" } shouldBeGreaterThan 15
                }
            }
        }
    })
