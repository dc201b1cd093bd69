package org.berylpoint.policy

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe

class RendezvousTest :
    FunSpec({
        val keys = (1..1000).map { "server-$it" }
        val nodes = listOf("e1", "e2", "e3", "e4")

        // Guards against a changed hash: instances of different releases would disagree on the owner of a server.
        test("`weight` is stable over releases") {
            Rendezvous.weight("server-1", "e1") shouldBe 6567181624789706643L
        }

        // Guards against a result that depends on the order in which the members are listed.
        test("`first` does not depend on the order of the nodes") {
            keys.forEach { key ->
                Rendezvous.first(key, nodes) { it } shouldBe Rendezvous.first(key, nodes.reversed()) { it }
            }
        }

        // Guards against moving servers between owners that are both still members.
        test("removing a node reassigns only the keys that it owned") {
            keys.forEach { key ->
                val before = Rendezvous.first(key, nodes) { it }
                val after = Rendezvous.first(key, nodes - "e2") { it }
                if (before != "e2") after shouldBe before
            }
        }

        // Guards against a hash that assigns most of the servers to one instance.
        test("keys are distributed evenly over the nodes") {
            keys.groupBy { key -> Rendezvous.first(key, nodes) { it } }.values.forEach {
                it.size shouldBeInRange 190..310
            }
        }

        test("`ranked` starts with `first` and contains every node once") {
            keys.take(50).forEach { key ->
                val ranked = Rendezvous.ranked(key, nodes) { it }
                ranked.first() shouldBe Rendezvous.first(key, nodes) { it }
                ranked.sorted() shouldBe nodes
            }
        }

        // Guards against hashing the concatenation of key and node without a separator.
        test("key and node are hashed as separate strings") {
            (1..100).count { Rendezvous.weight("a$it", "b") == Rendezvous.weight("a", "${it}b") } shouldBe 0
        }
    })
