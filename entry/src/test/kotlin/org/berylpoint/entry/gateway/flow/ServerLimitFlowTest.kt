package org.berylpoint.entry.gateway.flow

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Servers that name in their responses how many requests a second they take from all instances together. */
@OptIn(ExperimentalCoroutinesApi::class)
class ServerLimitFlowTest :
    FunSpec({
        // Guards against a server in need that gets as many requests as before from instances that it has told (LIMIT).
        for ((count, limit) in listOf(8 to 1.6, 8 to 0.5, 8 to 6.0, 40 to 1.6, 40 to 0.5)) {
            test("a server that names $limit a second gets that of $count instances, and the others take the rest") {
                runTest {
                    val site = LimitedSite(this, count)
                    site.runTraffic()
                    delay(2.seconds)
                    site.limits["s1"] = limit
                    delay(CONTACT_TIME)
                    val from = currentTime
                    delay(20.seconds)
                    site.busiest("s1", from) shouldBeLessThan (limit * 6 + 5).toInt() + 1
                    site.arrivals("s1", from) shouldBeGreaterThan (limit * 20 * MIN_USED_SHARE).toInt()
                    site.refusedShare(from) shouldBe 0.0
                }
            }
        }

        // Guards against a whole service that is limited and gets more by retries, or less than it would take.
        test("servers that all name a limit get it, and what they can't take is refused at once") {
            runTest {
                val site = LimitedSite(this, instances = 8)
                site.runTraffic()
                for (id in SERVERS) site.limits[id] = 6.0
                delay(CONTACT_TIME)
                val from = currentTime
                delay(20.seconds)
                for (id in SERVERS) {
                    site.busiest(id, from) shouldBeLessThan 41 + 1
                    site.arrivals(id, from) shouldBeGreaterThan (6 * 20 * MIN_USED_SHARE).toInt()
                }
                site.longestRefusalMillis shouldBeLessThan 120 / 8 + 10L
            }
        }

        // Guards against retries and moves that take no notice of a limit.
        test("retries of what another server failed keep to the limit") {
            runTest {
                val site = LimitedSite(this, instances = 8)
                site.runTraffic()
                site.failing += "s2"
                site.limits["s1"] = 1.6
                delay(CONTACT_TIME)
                val from = currentTime
                delay(20.seconds)
                site.busiest("s1", from) shouldBeLessThan 14 + 1
            }
        }

        // Guards against a limit that outlives its server's need: those that send nothing there hear of its end.
        test("a limit ends when responses stop naming it, for all instances") {
            runTest {
                val site = LimitedSite(this, instances = 8)
                site.runTraffic()
                site.limits["s1"] = 0.5
                delay(6.seconds)
                site.limits.clear()
                delay(6.seconds)
                val from = currentTime
                delay(4.seconds)
                site.sendersTo("s1", from) shouldBe 8
            }
        }

        // Guards against a limit that stays for good: the instances that may send have no requests for the server.
        test("a limit ends also when the instances that share it are gone") {
            runTest {
                val site = LimitedSite(this, instances = 8)
                site.runTraffic()
                site.limits["s1"] = 0.5
                delay(6.seconds)
                val senders = site.namesOfSendersTo("s1", currentTime - 5_000)
                site.idle += senders
                site.limits.clear()
                delay(30.seconds)
                val from = currentTime
                delay(4.seconds)
                site.sendersTo("s1", from) shouldBe 8 - senders.size
            }
        }

        test("a limit belongs to one process: the next one under the same id gets requests of all") {
            runTest {
                val site = LimitedSite(this, instances = 8)
                site.runTraffic()
                site.limits["s1"] = 0.5
                delay(6.seconds)
                site.limits.clear()
                site.restart("s1")
                val from = currentTime
                delay(3.seconds)
                site.sendersTo("s1", from) shouldBe 8
            }
        }

        // Guards against an instance that starts while a limit is in force and sends as it likes until it is told.
        test("an instance hears of a limit from its peers before it sends") {
            runTest {
                val told = RequestFlowFixture(this, servers = 1, name = "told")
                told.scripts += listOf(head(200, "Server-Limit" to "0.1"), data("ok"), end())
                RecordingCaller("/look/1").also { told.flow.serve(it) }.status shouldBe 200
                val fixture = RequestFlowFixture(this, servers = 1, name = "new")
                fixture.scripts += listOf(head(200, "Server-Limit" to "0.1"), data("ok"), end())
                fixture.receive(told.report(sequence = 1))
                val answers = List(5) { RecordingCaller("/look/1").also { caller -> fixture.flow.serve(caller) } }
                answers.count { it.status == 200 } shouldBeLessThan 2
                answers.last().header("Retry-After") shouldNotBe null
            }
        }

        // Guards against a new instance that takes the whole limit for itself, since it knows no others yet.
        test("an instance that does not know the other instances yet sends nothing to a limited server") {
            runTest {
                val fixture = RequestFlowFixture(this, servers = 1)
                fixture.scripts += listOf(head(200, "Server-Limit" to "8"), data("ok"), end())
                RecordingCaller("/look/1").also { fixture.flow.serve(it) }.status shouldBe 200
                RecordingCaller("/look/1").also { fixture.flow.serve(it) }.status shouldBe 503
                fixture.peers.isPeerListLoaded = true
                RecordingCaller("/look/1").also { fixture.flow.serve(it) }.status shouldBe 200
            }
        }

        test("a malformed or missing limit is none") {
            runTest {
                val fixture = RequestFlowFixture(this, servers = 1)
                fixture.scripts += okResponse()
                repeat(5) { RecordingCaller("/look/1").also { fixture.flow.serve(it) }.status shouldBe 200 }
            }
        }
    })

private val SERVERS = listOf("s1", "s2", "s3")

/** Time after which all instances have to keep to a limit; the shortest that operators set. */
private val CONTACT_TIME = 3.seconds

/** Windows are a tenth longer than needed, and each sender waits for a request of its own in each of them. */
private const val MIN_USED_SHARE = 0.6

/** Instances that each get twelve requests a second, or as many as make 120 in all, and report to each other. */
@OptIn(ExperimentalCoroutinesApi::class)
private class LimitedSite(private val scope: TestScope, instances: Int) {
    private class Arrival(val server: String, val instance: String, val atMillis: Long)

    private class Answer(val status: Int, val atMillis: Long)

    private val interval = (instances * 1_000L / 120).milliseconds
    private val arrivals = mutableListOf<Arrival>()
    private val answers = mutableListOf<Answer>()

    /** Limits that servers name now. */
    val limits = HashMap<String, Double>()

    /** Servers that reset the connection of each request. */
    val failing = mutableSetOf<String>()

    /** Instances that get no requests and send no reports. */
    val idle = mutableSetOf<String>()

    var longestRefusalMillis = 0L
        private set

    private val all = (1..instances).map { RequestFlowFixture(scope, slots = 100, name = "i$it", seed = it) }
    private val names = (1..instances).map { "i$it" }

    init {
        for ((name, instance) in names.zip(all)) {
            names.forEach { instance.peers.add(it, it) }
            instance.peers.isPeerListLoaded = true
            instance.scriptForServer = { server -> respond(name, server) }
        }
    }

    private fun respond(instance: String, server: String): List<ScriptedEvent> {
        arrivals += Arrival(server, instance, scope.currentTime)
        if (server in failing) return listOf(failed())
        val header = limits[server]?.let { arrayOf("Server-Limit" to it.toString()) }.orEmpty()
        return listOf(head(200, *header, after = 20), data("ok"), end())
    }

    fun runTraffic() {
        for ((index, instance) in all.withIndex()) {
            scope.backgroundScope.launch {
                delay(interval / all.size * index)
                while (true) {
                    if (names[index] !in idle) scope.backgroundScope.launch { request(instance) }
                    delay(interval)
                }
            }
            scope.backgroundScope.launch { report(names[index], instance) }
        }
    }

    private suspend fun request(instance: RequestFlowFixture) {
        val startedAt = scope.currentTime
        val caller = RecordingCaller("/look/1", headers = listOf("Authorization" to "Bearer free"))
        instance.flow.serve(caller)
        answers += Answer(caller.status, scope.currentTime)
        if (caller.status == 503) longestRefusalMillis = maxOf(longestRefusalMillis, scope.currentTime - startedAt)
    }

    private suspend fun report(name: String, instance: RequestFlowFixture) {
        var sequence = 0L
        while (true) {
            sequence++
            if (name !in idle) all.filter { it !== instance }.forEach { it.receive(instance.report(sequence)) }
            delay(REPORT_INTERVAL)
        }
    }

    fun restart(server: String) = all.forEach { it.restart(server, revision = 50) }

    fun arrivals(server: String, from: Long) = arrivals.count { it.server == server && it.atMillis >= from }

    /** The most requests that [server] got in any 4 s after [from]. */
    fun busiest(server: String, from: Long): Int {
        val times = arrivals.filter { it.server == server && it.atMillis >= from }.map { it.atMillis }
        return times.maxOfOrNull { start -> times.count { it in start until start + 4_000 } } ?: 0
    }

    fun namesOfSendersTo(server: String, from: Long) =
        arrivals.filter { it.server == server && it.atMillis >= from }.map { it.instance }.toSet()

    fun sendersTo(server: String, from: Long) = namesOfSendersTo(server, from).size

    fun refusedShare(from: Long): Double {
        val recent = answers.filter { it.atMillis >= from }
        return recent.count { it.status != 200 }.toDouble() / recent.size
    }

    private companion object {
        val REPORT_INTERVAL = 250.milliseconds
    }
}
