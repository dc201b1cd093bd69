package org.berylpoint.testkit.proofs

import arrow.core.Either
import arrow.core.right
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.berylpoint.model.CatalogueChange.BringBack
import org.berylpoint.model.CatalogueChange.TakeOut
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.Problem
import org.berylpoint.testkit.catalogue.CatalogueTestCluster
import org.berylpoint.testkit.catalogue.CatalogueTestCluster.Companion.put
import org.berylpoint.testkit.standin.Fault
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The bound of P10 on the time from acceptance until a version is in force on every reachable instance. */
private val IN_FORCE = 4.seconds

private val seeds = 1..8

/** The time until all of [nodes] have at least [version]; infinite if that takes more than 30 s. */
private suspend fun CatalogueTestCluster.timeTo(
    version: Long,
    nodes: () -> Collection<CatalogueTestCluster.Node> = { alive },
): Duration {
    val start = rig.time.markNow()
    while (nodes().any { (it.version ?: -1) < version }) {
        if (start.elapsedNow() > 30.seconds) return Duration.INFINITE
        delay(10.milliseconds)
    }
    return start.elapsedNow()
}

private suspend fun CatalogueTestCluster.settle() = timeTo(0).also { it shouldNotBe Duration.INFINITE }

private fun Either<Problem, Long>.version(): Long = fold({ error("refused: $it") }, { it })

/** The table's change rows in order: the only place where acceptance is decided. */
private fun CatalogueTestCluster.accepted(): List<String> = table.content.values
    .filter { it.key.partition == "catalogue/change" }.sortedBy { it.key.sort }.map { it.value }

private fun CatalogueTestCluster.shouldAgree() {
    alive.map { it.sync.current.value }.distinct().size shouldBe 1
    versionRegressions().shouldBeEmpty()
}

private fun proof(runs: IntRange = seeds, body: suspend TestScope.(CatalogueTestCluster, Random) -> Unit) =
    runs.forEach { seed ->
        withClue("seed $seed") {
            runTest { body(CatalogueTestCluster(this, seed), Random(seed)) }
        }
    }

/** P10: an accepted configuration is in force on every reachable entry instance within 4 s and never reverts. */
class ConfigurationProofTest :
    FunSpec({
        test("versions accepted anywhere are in force everywhere in time") {
            var longest = Duration.ZERO
            proof { site, random ->
                site.settle()
                repeat(30) { round ->
                    val version = site.alive.random(random).submit(put("chat-$round")).version()
                    val time = site.timeTo(version)
                    longest = maxOf(longest, time)
                    time shouldBeLessThanOrEqualTo IN_FORCE
                }
                site.shouldAgree()
            }
            println("P10 without faults: longest time to force $longest")
        }

        test("a version is in force in time when its instance reaches no peer after the commit") {
            var longest = Duration.ZERO
            proof { site, _ ->
                site.settle()
                val accepting = site.node("n5")
                site.nodes.keys.forEach {
                    if (it !=
                        accepting.machine.instance.id
                    ) {
                        site.rig.links.cut(accepting.machine.instance.id, it)
                    }
                }
                val version = accepting.submit(put("chat-1")).version()
                accepting.machine.kill()
                val time = site.timeTo(version)
                longest = maxOf(longest, time)
                time shouldBeLessThanOrEqualTo IN_FORCE
                site.shouldAgree()
            }
            println("P10 with the accepting instance killed: longest time to force $longest")
        }

        test("instances restarted during an outage of the table come back with the accepted version") {
            proof(1..3) { site, random ->
                site.settle()
                val version = site.node("n3").submit(put("chat-1")).version()
                site.timeTo(version) shouldBeLessThanOrEqualTo IN_FORCE
                site.table.faults.all = if (random.nextBoolean()) Fault.DOWN else Fault.CALLS_LOST
                site.objects.faults.all = Fault.DOWN
                site.nodes.keys.shuffled(random).forEachIndexed { index, id ->
                    val old = site.nodes.getValue(id)
                    old.machine.kill()
                    delay(random.nextLong(0, 3_000).milliseconds)
                    site.start("r$index", old.machine.instance.failureDomain)
                    delay(random.nextLong(3_000, 5_000).milliseconds)
                }
                delay(5.seconds)
                site.activations.map { it.version }.distinct() shouldBe listOf(0, version)
                site.activations.filter { it.machine.instance.id.value.startsWith("r") && it.version < version }
                    .shouldBeEmpty()
                site.versions().values.distinct() shouldBe listOf(version)
            }
        }

        test("an instance that starts with neither table nor peers is not ready, and never with an empty catalogue") {
            proof { site, _ ->
                site.settle()
                site.node("n0").submit(put("chat-1")).version()
                site.table.faults.all = Fault.DOWN
                val alone = site.start("alone", CatalogueTestCluster.domains[0])
                site.rig.links.isolate(CatalogueTestCluster.domains[0])
                site.alive.filter { it !== alone }.forEach {
                    site.rig.links.cut(it.machine.instance.id, alone.machine.instance.id)
                }
                delay(20.seconds)
                alone.version shouldBe null
                site.rig.links.heal()
                site.timeTo(1) { listOf(alone) } shouldBeLessThanOrEqualTo IN_FORCE
            }
        }

        test("a stalled table and lagging reads delay no instance beyond the bound and revert none") {
            var longest = Duration.ZERO
            proof { site, random ->
                site.settle()
                val first = site.node("n1").submit(put("chat-1")).version()
                site.timeTo(first) shouldBeLessThanOrEqualTo IN_FORCE
                site.staleTable.readLag = 60.seconds
                repeat(5) { round ->
                    site.table.faults.all = Fault.slow(random.nextLong(0, 1_900).milliseconds)
                    val version = site.alive.random(random).submit(put("lag-$round")).version()
                    site.table.faults.all = Fault.slow(30.seconds)
                    val time = site.timeTo(version)
                    longest = maxOf(longest, time)
                    time shouldBeLessThanOrEqualTo IN_FORCE
                    site.table.faults.all = Fault.NONE
                    val restarted = site.alive.random(random)
                    restarted.machine.kill()
                    val started = site.start("r$round", restarted.machine.instance.failureDomain)
                    delay(4.seconds)
                    started.version shouldBe version
                    site.activations.filter { it.machine === started.machine }.map { it.version } shouldBe
                        listOf(version)
                }
                site.shouldAgree()
            }
            println("P10 with a stalled table and lagging reads: longest time to force $longest")
        }

        test("a domain cut off keeps its version and has the newest in time after the partition heals") {
            var longest = Duration.ZERO
            proof { site, random ->
                site.settle()
                val cutOff = CatalogueTestCluster.domains.random(random)
                val (inside, outside) = site.alive.partition { it.machine.instance.failureDomain == cutOff }
                site.rig.links.isolate(cutOff)
                inside.forEach { site.table.faults[it.machine.instance.id] = Fault.DOWN }
                repeat(5) { round ->
                    val version = outside.random(random).submit(put("chat-$round")).version()
                    site.timeTo(version) { outside } shouldBeLessThanOrEqualTo IN_FORCE
                    delay(random.nextLong(0, 5_000).milliseconds)
                }
                inside.map { it.version }.distinct() shouldBe listOf(0L)
                inside.first().submit(put("inside")).fold({ it.kind }, { null }) shouldBe ErrorKind.StoreUnavailable
                site.rig.links.heal()
                val time = site.timeTo(5)
                longest = maxOf(longest, time)
                time shouldBeLessThanOrEqualTo IN_FORCE
                site.shouldAgree()
            }
            println("P10 after a partition: longest time to force $longest")
        }

        test("of two operators with the same expected version one is accepted and the other told of the conflict") {
            proof { site, random ->
                site.settle()
                repeat(15) { round ->
                    val (a, b) = site.alive.shuffled(random)
                    site.table.faults.all = Fault.slow(random.nextLong(0, 500).milliseconds)
                    val before = site.accepted().size
                    val results = listOf(
                        async { a.submit(put("a-$round")) },
                        async { b.submit(put("b-$round")) },
                    ).awaitAll()
                    results.count { it.isRight() } shouldBe 1
                    results.mapNotNull { it.leftOrNull()?.kind } shouldBe listOf(ErrorKind.VersionConflict)
                    site.accepted().size shouldBe before + 1
                    site.timeTo(before + 1L) shouldBeLessThanOrEqualTo IN_FORCE
                }
                site.shouldAgree()
            }
        }

        test("a take-out that races a bring-back ends the same on every instance, as the later one of the table") {
            proof { site, random ->
                site.settle()
                val domain = FailureDomain("muc-a")
                site.node("n0").submit(put("chat-1")).version()
                repeat(10) {
                    val start = site.accepted().size
                    listOf(TakeOut(domain), BringBack(domain)).map { change ->
                        launch {
                            val node = site.alive.random(random)
                            // An operator repeats an update after a conflict, against the newer version.
                            while (node.submit(change).isLeft()) delay(random.nextLong(1, 300).milliseconds)
                        }
                    }.forEach { it.join() }
                    site.accepted().size shouldBe start + 2
                    site.timeTo(start + 2L) shouldBeLessThanOrEqualTo IN_FORCE
                    val isLastOut = "take-out" in site.accepted().last()
                    site.alive.map { domain in it.sync.current.value!!.domainsOut }.distinct() shouldBe
                        listOf(isLastOut)
                }
                site.shouldAgree()
            }
        }

        test("a commit whose answers are lost or late is reported as accepted once") {
            proof(1..4) { site, random ->
                site.settle()
                repeat(6) { round ->
                    val faults = site.table.faults
                    when (round % 3) {
                        0 -> faults.loseNextAnswers(1 + random.nextInt(3))
                        1 -> faults.all = Fault.ANSWERS_LOST
                        // Each call ends without an answer after 2 s and takes effect after that.
                        else -> faults.rule = { if (it.isWrite) Fault.slow(2_500.milliseconds) else Fault.NONE }
                    }
                    val clearing = launch {
                        delay(6.seconds)
                        faults.clear()
                    }
                    val result = site.alive.random(random).submit(put("chat-$round"))
                    result shouldBe (round + 1L).right()
                    site.accepted().count { "\"chat-$round\"" in it && "put-entry" in it } shouldBe 1
                    clearing.join()
                    site.timeTo(round + 1L) shouldBeLessThanOrEqualTo IN_FORCE
                }
                site.shouldAgree()
            }
        }

        test("a commit that gets no answer at all is neither reported as accepted nor as refused") {
            proof(1..1) { site, _ ->
                site.settle()
                site.table.faults.all = Fault.CALLS_LOST
                val result = site.node("n2").submit(put("chat-1"))
                result.fold({ it.kind }, { null }) shouldBe ErrorKind.OutcomeUnknown
            }
        }

        test("under random faults no instance reverts, and answers agree with the table") {
            proof { site, random ->
                site.settle()
                val results = mutableMapOf<String, Either<Problem, Long>>()
                val operators = List(3) { operator ->
                    launch {
                        repeat(12) { round ->
                            delay(random.nextLong(100, 4_000).milliseconds)
                            val name = "o$operator-$round"
                            val node = site.alive.random(random)
                            // The caller's connection breaks when its instance dies.
                            val answer = withTimeoutOrNull(20.seconds) {
                                runCatching { node.submit(put(name)) }.getOrNull()
                            }
                            if (answer != null) results[name] = answer
                        }
                    }
                }
                var restarts = 0
                val faults = launch {
                    while (operators.any { it.isActive }) {
                        delay(random.nextLong(200, 2_000).milliseconds)
                        val node = site.alive.random(random)
                        when (random.nextInt(9)) {
                            0 -> site.rig.links.isolate(CatalogueTestCluster.domains.random(random))
                            1 -> site.rig.links.cut(
                                node.machine.instance.id,
                                site.alive.random(random).machine.instance.id,
                            )
                            2 -> site.rig.links.heal()
                            3 ->
                                site.table.faults.all =
                                    listOf(Fault.DOWN, Fault.ANSWERS_LOST, Fault.slow(3.seconds)).random(random)
                            4, 5 -> site.table.faults.clear()
                            6 -> site.staleTable.readLag = random.nextLong(0, 5_000).milliseconds
                            7 -> {
                                node.machine.pause()
                                launch {
                                    delay(random.nextLong(100, 15_000).milliseconds)
                                    node.machine.resume()
                                }
                            }

                            else -> {
                                node.machine.kill()
                                site.start("r${restarts++}", node.machine.instance.failureDomain)
                            }
                        }
                    }
                }
                operators.forEach { it.join() }
                faults.join()
                delay(15.seconds)
                site.rig.links.heal()
                site.table.faults.clear()
                site.staleTable.readLag = Duration.ZERO
                // Members that were silent are suspect until the next heartbeats.
                val newest = site.accepted().size.toLong()
                site.timeTo(newest) shouldBeLessThanOrEqualTo IN_FORCE
                site.shouldAgree()
                val tokens = site.accepted().map {
                    Json.parseToJsonElement(it).jsonObject.getValue("token").jsonPrimitive.content
                }
                tokens.distinct().size shouldBe tokens.size
                results.forEach { (name, result) ->
                    val places = site.accepted().withIndex().filter { "\"$name\"" in it.value }.map { it.index + 1L }
                    withClue("$name: $result") {
                        result.fold(
                            ifLeft = { if (it.kind != ErrorKind.OutcomeUnknown) places.shouldBeEmpty() },
                            ifRight = { places shouldBe listOf(it) },
                        )
                    }
                }
                results.values.map { it.isRight() } shouldContain true
            }
        }
    })
