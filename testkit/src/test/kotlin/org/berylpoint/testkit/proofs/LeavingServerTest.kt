package org.berylpoint.testkit.proofs

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.berylpoint.model.BackendServerId
import org.berylpoint.platform.InstanceStatus
import org.berylpoint.testkit.standin.Fault
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** P8: a leaving server gets no new work after 3 s, counted from the time at which the platform's list tells it. */
class LeavingServerTest :
    FunSpec({
        fun proof(seed: Int, fault: suspend TestScope.(LoadSite) -> Unit) = runTest {
            val site = LoadSite(this, seed, mapOf("a" to 3, "b" to 2), startsWarm = true, callers = 20)
            delay(20.seconds)
            fault(site)
            site.instances.setStatus(BackendServerId("a-s1"), InstanceStatus.Leaving(30_000))
            val since = site.journal.now().milliseconds
            delay(25.seconds)
            site.acceptedBetween(since - 10.seconds, since).count { it.served.server == "a-s1" } shouldBeGreaterThan 8
            site.acceptedBetween(since + 3.seconds, since + 25.seconds).filter { it.served.server == "a-s1" }
                .shouldBeEmpty()
            site.acceptedBetween(since + 3.seconds, since + 25.seconds).size shouldBeGreaterThan 30
        }

        // Guards against grants, queued calls and candidates that outlive the notice.
        test("P8 while the list is read at different times, slowly") {
            listOf(1, 2, 3).forEach { seed ->
                proof(seed) { site ->
                    site.instances.faults.all = Fault.slow(200.milliseconds)
                    delay((seed * 313).milliseconds)
                }
            }
        }

        // Guards against a holder that can't read the list: the owner refuses.
        test("P8 for a holder that is cut off from the platform") {
            proof(4) { site ->
                val holder = site.nodes.values.first { it !== site.ownerOf("a-s1") }
                site.cutFromPlatform(holder.id.value)
            }
        }

        // Guards against an owner that can't read the list: the holders see the notice themselves.
        test("P8 for an owner that is cut off from the platform, with holders that are not") {
            proof(5) { site ->
                val owner = site.ownerOf("a-s1")
                owner.pauseCallers()
                site.cutFromPlatform(owner.id.value)
            }
        }
    })
