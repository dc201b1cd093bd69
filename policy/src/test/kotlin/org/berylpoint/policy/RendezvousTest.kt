package org.berylpoint.policy

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe

class RendezvousTest :
    FunSpec({
        val keys = (1..1000).map { "server-$it" }
        val nodes = listOf("e1", "e2", "e3", "e4")

        // Guards against a changed hash: instances of two releases would disagree on the owner.
        test("`weight` is stable over releases") {
            Rendezvous.weight("server-1", "e1") shouldBe 6567181624789706643L
        }

        // Guards against an order that depends on how the members are listed.
        test("`first` does not depend on the order of the nodes") {
            keys.forEach { key ->
                Rendezvous.first(key, nodes) { it } shouldBe Rendezvous.first(key, nodes.reversed()) { it }
            }
        }

        // Guards against moving servers between owners that both stay.
        test("a node that leaves moves only its own keys") {
            keys.forEach { key ->
                val before = Rendezvous.first(key, nodes) { it }
                val after = Rendezvous.first(key, nodes - "e2") { it }
                if (before != "e2") after shouldBe before
            }
        }

        // Guards against a hash that gives one instance most of the servers.
        test("keys spread evenly over the nodes") {
            keys.groupBy { key -> Rendezvous.first(key, nodes) { it } }.values.forEach {
                it.size shouldBeInRange 190..310
            }
        }

        test("`ranked` starts with `first` and holds every node once") {
            keys.take(50).forEach { key ->
                val ranked = Rendezvous.ranked(key, nodes) { it }
                ranked.first() shouldBe Rendezvous.first(key, nodes) { it }
                ranked.sorted() shouldBe nodes
            }
        }

        // Guards against concatenation without a separator.
        test("key and node are kept apart") {
            (1..100).count { Rendezvous.weight("a$it", "b") == Rendezvous.weight("a", "${it}b") } shouldBe 0
        }
    })
