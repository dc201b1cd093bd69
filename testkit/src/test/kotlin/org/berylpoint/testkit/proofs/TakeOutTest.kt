package org.berylpoint.testkit.proofs

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.berylpoint.model.FailureDomain
import org.berylpoint.testkit.standin.SceneEvent
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** P4: a failure domain that operators took out of service gets no new work after 3 s. */
class TakeOutTest :
    FunSpec({
        // Guards against work by instances that learn of the change late, and by grants made before it.
        test("P4 while instances learn of the change up to 1 s apart, some frozen for a while") {
            listOf(1, 2, 3).forEach { seed ->
                runTest {
                    val site = LoadSite(this, seed, mapOf("a" to 3, "b" to 2), startsWarm = true, callers = 10)
                    val out = site.catalogue.copy(version = 2, domainsOut = setOf(FailureDomain("a")))
                    delay(20.seconds)
                    site.note { SceneEvent.DomainTakenOut(it, "a") }
                    val frozen = site.nodes.getValue("b-e1").machine
                    frozen.pause()
                    site.nodes.values.forEachIndexed { i, node ->
                        launch {
                            delay((i * 250).milliseconds)
                            node.catalogue.current.value = out
                        }
                    }
                    delay(2.5.seconds)
                    frozen.resume()
                    delay(20.seconds)
                    site.acceptedBetween(10.seconds, 20.seconds).count { it.domain == "a" } shouldBeGreaterThan 15
                    site.acceptedBetween(23.seconds, 43.seconds).filter { it.domain == "a" }.shouldBeEmpty()
                    site.acceptedBetween(23.seconds, 43.seconds).count { it.domain == "b" } shouldBeGreaterThan 15

                    site.note { SceneEvent.DomainBroughtBack(it, "a") }
                    site.nodes.values.forEach { it.catalogue.current.value = site.catalogue.copy(version = 3) }
                    delay(20.seconds)
                    site.acceptedBetween(45.seconds, 60.seconds).count { it.domain == "a" } shouldBeGreaterThan 15
                }
            }
        }

        // Guards against an instance that is not told: the owners refuse what it asks for.
        test("P4 for an instance that never learns of the change: the owners refuse") {
            runTest {
                val site = LoadSite(this, 4, mapOf("a" to 3, "b" to 2), startsWarm = true, callers = 10)
                delay(20.seconds)
                val informed = site.nodes.values.filter { it.id.value != "b-e1" }
                informed.forEach {
                    it.catalogue.current.value =
                        site.catalogue.copy(2, domainsOut = setOf(FailureDomain("a")))
                }
                delay(20.seconds)
                site.acceptedBetween(23.seconds, 40.seconds).filter { it.domain == "a" }.shouldBeEmpty()
            }
        }
    })
