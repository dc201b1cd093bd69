package org.berylpoint.policy.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.berylpoint.model.BackendServerId

class ServerSelectorTest :
    FunSpec({
        test("hot prefix: requests with one prefix stay on one server while its queue is short") {
            val chosen = (1..20).map {
                sent(ServerSelector.choose(prompt(key = "hot", shared = 5_000), servers(6)))
            }.toSet()
            chosen.size shouldBe 1
        }

        test("hot prefix: the preferred server is kept while its queue costs less than reading the prefix again does") {
            val preferred = sent(ServerSelector.choose(prompt(key = "hot", shared = 5_000), servers(6)))
            val busy = servers(6).map { if (it.id == preferred) it.copy(pendingTokens = 12_000) else it }
            sent(ServerSelector.choose(prompt(key = "hot", shared = 5_000), busy)) shouldBe preferred
        }

        test("hot prefix: the preferred server gives way before its queue takes the request's target") {
            val preferred = sent(ServerSelector.choose(prompt(key = "hot", shared = 5_000), servers(6)))
            val busy = servers(6).map { if (it.id == preferred) it.copy(pendingTokens = 20_000) else it }
            sent(ServerSelector.choose(prompt(key = "hot", shared = 5_000), busy)) shouldNotBe preferred
        }

        // Guards against a preferred server whose queue is counted with parts that its cache holds: requests then
        // leave it and read these parts again elsewhere.
        test("hot prefix: cached parts do not count as waiting at the preferred server") {
            val choice = ServerSelector.choose(prompt(tokens = 6_000, key = "hot", shared = 5_000), servers(6))
            choice.shouldBeInstanceOf<ServerSelection.Selected>().prefillTokens shouldBe 1_000
            val plain = ServerSelector.choose(prompt(tokens = 6_000), servers(6))
            plain.shouldBeInstanceOf<ServerSelection.Selected>().prefillTokens shouldBe 6_000
        }

        test("hot prefix: many prefixes spread over all servers") {
            val chosen = (1..200).groupingBy {
                sent(ServerSelector.choose(prompt(key = "key-$it", shared = 5_000), servers(5)))
            }
                .eachCount()
            chosen.size shouldBe 5
            chosen.values.max() shouldBeLessThan 80
        }

        test("long prompts beside short ones: a short prompt avoids the server that reads a long one") {
            val pool = listOf(server("long").copy(pendingTokens = 50_000), server("free").copy(active = 10))
            sent(ServerSelector.choose(prompt(tokens = 500), pool)) shouldBe BackendServerId("free")
        }

        test("brown-out of a few servers: a slow server gets a smaller part of the load") {
            val pool = mutableListOf(server("slow").copy(delayFactor = 8.0), server("a"), server("b"))
            repeat(60) {
                val id = sent(ServerSelector.choose(prompt(tokens = 1_000, target = 100_000), pool))
                pool.replaceAll { if (it.id == id) it.copy(pendingTokens = it.pendingTokens + 1_000) else it }
            }
            val slow = pool.first { it.id.value == "slow" }.pendingTokens
            (slow.toDouble() / pool.sumOf { it.pendingTokens }) shouldBeLessThan 0.15
        }

        test("overload: less urgent requests are refused before urgent ones") {
            val pool = listOf(server("a").copy(pendingTokens = 40_000))
            ServerSelector.choose(prompt(priority = 2), pool).shouldBeInstanceOf<ServerSelection.Saturated>()
            ServerSelector.choose(prompt(priority = 0), pool).shouldBeInstanceOf<ServerSelection.Selected>()
        }

        test("overload: the wait that is told is the time until the queue has shrunk enough") {
            val full = ServerSelector.choose(prompt(priority = 2), listOf(server("a").copy(pendingTokens = 80_000)))
            full.shouldBeInstanceOf<ServerSelection.Saturated>().waitMillis shouldBe 612
        }

        test("reclaim of a domain: nothing is sent where no server is left") {
            ServerSelector.choose(prompt(), emptyList()) shouldBe ServerSelection.NoCandidate
        }

        test("plain requests: the server with fewer requests is chosen, and none takes more than its queue holds") {
            val pool = listOf(plain("a", active = 3), plain("b", active = 1))
            sent(ServerSelector.choose(prompt(tokens = 0), pool)) shouldBe BackendServerId("b")
            val full = listOf(plain("a", active = 9), plain("b", active = 9))
            ServerSelector.choose(prompt(tokens = 0), full).shouldBeInstanceOf<ServerSelection.Saturated>()
        }
    })

private fun server(id: String) = ServerCandidate(BackendServerId(id), isLocal = true, 0, 0, 48, 80.0, 1.0)

private fun plain(id: String, active: Int) = ServerCandidate(BackendServerId(id), true, active, 0, 6, 80.0, 1.0)

private fun servers(count: Int) = (1..count).map { server("server-$it") }

private fun prompt(
    tokens: Long = 1_000,
    key: String? = null,
    shared: Long = 0,
    target: Long = 400,
    priority: Int = 1,
) = PlacementRequest(maxOf(tokens, shared), key, shared, target, priority)

private fun sent(choice: ServerSelection): BackendServerId = choice.shouldBeInstanceOf<ServerSelection.Selected>().server
