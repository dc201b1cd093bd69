package org.berylpoint.entry.gateway.peers

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.seconds

class PeerMeshTest :
    FunSpec({
        // Guards against instances that never hear each other again after a long cut, so that changes, caps and limits
        // are not shared between them any more (CONFIG, DRAIN): each had forgotten the other and sent it nothing.
        test("two instances that were cut from each other for 30 s hear each other again") {
            runTest {
                val instances = ReportingInstances(this, listOf("a", "b", "c"))
                delay(2.seconds)
                instances.cuts = setOf(setOf("a", "b"))
                delay(30.seconds)
                instances.heardBy("a") shouldBe setOf("c")
                instances.cuts = emptySet()
                delay(HEALING_TIME)
                instances.heardBy("a") shouldBe setOf("b", "c")
                instances.heardBy("b") shouldBe setOf("a", "c")
            }
        }

        // Guards against a site that falls apart for good when all links between its instances are full for a while.
        test("instances that have all forgotten each other hear each other again") {
            runTest {
                val names = List(40) { "i$it" }
                val instances = ReportingInstances(this, names)
                delay(2.seconds)
                instances.cuts = names.flatMap { a -> names.map { setOf(a, it) } }.toSet()
                delay(30.seconds)
                names.sumOf { instances.heardBy(it).size } shouldBe 0
                instances.cuts = emptySet()
                delay(HEALING_TIME)
                names.map { instances.heardBy(it).size }.distinct() shouldBe listOf(names.size - 1)
            }
        }
    })

private fun ReportingInstances.heardBy(name: String) = views.getValue(name).liveReports.map { it.name }.toSet()

/** Time after which an instance counts as in touch again; the shortest that operators set. */
private val HEALING_TIME = 3.seconds
