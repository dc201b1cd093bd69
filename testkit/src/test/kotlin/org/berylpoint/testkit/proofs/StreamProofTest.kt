package org.berylpoint.testkit.proofs

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.berylpoint.model.ClassLimits
import org.berylpoint.model.FailureDomain
import org.berylpoint.platform.InstanceStatus
import org.berylpoint.testkit.rig.Site
import org.berylpoint.testkit.rig.SitePlan
import org.berylpoint.testkit.standin.CallerEvent
import org.berylpoint.testkit.standin.FakeModelEngine
import org.berylpoint.testkit.standin.FakeServer
import org.berylpoint.testkit.standin.SceneEvent
import org.berylpoint.testkit.standin.ServerEvent
import org.berylpoint.testkit.standin.ServerFault
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

// The engines are warm from the start, so that places are short only in the tests that make them so.
private val warm = ClassLimits(maxInFlight = 16, rampStart = 16, maxRunMillis = 60_000)
private val plan = SitePlan(domains = listOf("a", "b"), instances = 4, engines = 4, plainServers = 2, chat = warm)

/** Proofs of P5, P9 and the truth of `not-run` for chats, at a small site. */
class StreamProofTest :
    FunSpec({
        test("chats of a server killed in the middle are completed elsewhere without gap or repeat") {
            site(seed = 11) {
                chats(16, tokens = 120) {
                    delay(2.seconds)
                    busiest().kill()
                }
                brokenAttempts().shouldNotBeEmpty()
                allCompleted(16)
            }
        }

        for (kv in listOf(true, false)) {
            test("chats on a reclaimed server move before it ends, with KV transfer $kv") {
                site(seed = 12, plan = plan.copy(kvTransfer = kv)) {
                    lateinit var server: FakeServer
                    chats(12, tokens = 400, deadline = 60.seconds) {
                        delay(2.seconds)
                        server = busiest()
                        server.inFlight shouldBeGreaterThan 0
                        reclaim(server, notice = 4.seconds)
                    }
                    allCompleted(12)
                    // Every stream left before the end, so the end of the process broke none.
                    brokenAttempts().shouldBeEmpty()
                    val recomputed = engines().sumOf { it.recomputedTokens }
                    if (kv) recomputed shouldBeLessThan 200
                }
            }
        }

        test("chats on a reclaimed server wait for a place when the others are full, and none is cut by its end") {
            val full = plan.copy(engines = 2, chat = warm.copy(maxInFlight = 3, rampStart = 3))
            site(seed = 21, plan = full) {
                chats(6, tokens = 300, deadline = 60.seconds) {
                    delay(1.seconds)
                    reclaim(busiest(), notice = 3.seconds)
                }
                allCompleted(6)
                brokenAttempts().shouldBeEmpty()
            }
        }

        test("chats that end within the notice of a reclaim stay where they are") {
            site(seed = 13) {
                chats(12, tokens = 30) { reclaim(busiest(), notice = 20.seconds) }
                allCompleted(12)
                cancelledAttempts().shouldBeEmpty()
            }
        }

        test("chats on a retired entry and in a domain out of service are completed") {
            site(seed = 14) {
                chats(12, tokens = 300, deadline = 60.seconds) {
                    delay(1.seconds)
                    takeOut(FailureDomain("a"))
                }
                allCompleted(12)
                brokenAttempts().shouldBeEmpty()
            }
        }

        test("silent connections are replaced while new ones work, and no version is blamed") {
            site(seed = 15) {
                chats(12, tokens = 200, deadline = 60.seconds) {
                    delay(2.seconds)
                    engines().forEach { it.silenceOpenConnections() }
                }
                allCompleted(12)
            }
        }

        val disorder = listOf(ServerFault.Late(40), ServerFault.Duplicated, ServerFault.OutOfOrder)
        for (fault in disorder) {
            test("parts of answers that are $fault give the whole text in order") {
                site(seed = 16) {
                    engines().forEach { it.switchOn(fault) }
                    chats(12, tokens = 60) {}
                    allCompleted(12)
                }
            }
        }

        test("all disorders at once, ids that collide after restarts and a kill give each caller its own text") {
            site(seed = 17) {
                engines().forEach { engine -> disorder.forEach(engine::switchOn) }
                // The retry budget covers about four streams of a killed server in ten seconds at this load.
                for (round in listOf("first", "second")) {
                    chats(6, tokens = 120, deadline = 60.seconds, prefix = round) {
                        delay(1.seconds)
                        busiest().restart()
                    }
                    delay(10.seconds)
                }
                allCompleted(12)
            }
        }

        test("a stopped entry instance completes its streams and refuses new requests as a true not-run") {
            site(seed = 18) {
                chats(16, tokens = 200, deadline = 60.seconds) {
                    delay(1.seconds)
                    val node = running.first()
                    coroutineScope {
                        launch { stop(node, notice = 25.seconds) }
                        delay(500.milliseconds)
                        repeat(5) { launch { caller.chat(node, "late-$it", "hello", tokens = 10) } }
                    }
                }
                val refused = journal.events().filterIsInstance<CallerEvent.Problem>()
                refused.map { it.call }.toSet() shouldBe (0 until 5).map { "late-$it" }.toSet()
                refused.map { it.kind to it.ran }.toSet() shouldBe setOf("ShuttingDown" to "not-run")
                journal.events().filterIsInstance<CallerEvent.Disconnected>().shouldBeEmpty()
                allCompleted(16)
            }
        }

        test("a caller that disconnects ends its stream at the engine; a booking is completed all the same") {
            site(seed = 19) {
                coroutineScope {
                    val chat = launch { caller.chat(running.first(), "gone", "hello", tokens = 400) }
                    val booking = launch { caller.booking(running.first(), "seat") }
                    // A booking is dispatched about 10 ms after its record is stored.
                    delay(1.seconds)
                    chat.cancel()
                    booking.cancel()
                }
                delay(5.seconds)
                val finished = journal.events().filterIsInstance<ServerEvent.Finished>().map { it.served.call }
                ("seat" in finished) shouldBe true
                engines().sumOf { it.inFlight } shouldBe 0
            }
        }

        test("requests refused for overload never reached a server") {
            site(seed = 20, plan = plan.copy(engines = 1, chat = plan.chat.copy(maxInFlight = 2, rampStart = 2))) {
                chats(60, tokens = 150, deadline = 8.seconds, pause = 20.milliseconds) {}
                val refused = journal.events().filterIsInstance<CallerEvent.Problem>().filter { it.ran == "not-run" }
                refused.shouldNotBeEmpty()
                check().violations.shouldBeEmpty()
            }
        }
    })

private fun site(seed: Int, plan: SitePlan = org.berylpoint.testkit.proofs.plan, block: suspend Site.() -> Unit) =
    runTest(timeout = 2.minutes) {
        val site = Site(this, seed, plan)
        site.startUp()
        site.block()
    }

/** Sends [count] chats through all instances while [during] happens; returns when all are answered. */
private suspend fun Site.chats(
    count: Int,
    tokens: Int,
    deadline: Duration = 30.seconds,
    pause: Duration = 50.milliseconds,
    prefix: String = "chat",
    during: suspend Site.() -> Unit,
) = coroutineScope {
    val nodes = running
    repeat(count) { number ->
        launch { caller.chat(nodes[number % nodes.size], "$prefix-$number", "topic ${number % 3}", tokens, deadline) }
        delay(pause)
    }
    during()
}

private fun Site.engines() = backends.all.values.filterIsInstance<FakeModelEngine>()

private fun Site.busiest(): FakeServer = engines().filter { it.isUp }.maxBy { it.inFlight }

/** Lists [server] as leaving, and ends it after [notice]. */
private suspend fun Site.reclaim(server: FakeServer, notice: Duration) {
    val entry = plan.chatEntry().name
    instances.put(entry, server.server, InstanceStatus.Leaving(notice.inWholeMilliseconds))
    journal.add(SceneEvent.ServerLeaves(journal.now(), server.server.id.value))
    delay(notice)
    server.kill()
    instances.put(entry, server.server, InstanceStatus.Terminated)
}

private fun Site.brokenAttempts() = journal.events().filterIsInstance<ServerEvent.Crashed>()

private fun Site.cancelledAttempts() = journal.events().filterIsInstance<ServerEvent.Cancelled>()

private fun Site.allCompleted(count: Int) {
    val report = check()
    report.violations.shouldBeEmpty()
    report.classes.getValue("chat").completedOnce shouldBe count
}
