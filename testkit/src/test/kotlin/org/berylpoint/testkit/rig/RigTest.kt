package org.berylpoint.testkit.rig

import arrow.core.left
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.berylpoint.model.FailureDomain
import org.berylpoint.peer.PeerError
import org.berylpoint.peer.PeerMessage
import kotlin.time.Duration.Companion.seconds

class RigTest :
    FunSpec({
        val ping = PeerMessage.FetchCatalogue(1)

        fun Rig.answering(id: String, domain: String) = machine(id, FailureDomain(domain)).also { machine ->
            machine.network.serve { _, _ -> PeerMessage.Ack }
        }

        test("`call` is answered over an open link and times out over a cut one") {
            runTest {
                val rig = Rig(this, seed = 1)
                val a = rig.answering("a", "x")
                val b = rig.answering("b", "y")
                a.network.call("b:1", ping, 1.seconds).getOrNull() shouldBe PeerMessage.Ack
                rig.links.cut(a.instance.failureDomain, b.instance.failureDomain)
                a.network.call("b:1", ping, 1.seconds) shouldBe PeerError.TimedOut.left()
                rig.links.heal()
                a.network.call("b:1", ping, 1.seconds).getOrNull() shouldBe PeerMessage.Ack
            }
        }

        test("a killed machine refuses, a paused one is silent and answers again after it resumes") {
            runTest {
                val rig = Rig(this, seed = 1)
                val a = rig.answering("a", "x")
                val b = rig.answering("b", "x")
                b.pause()
                a.network.call("b:1", ping, 1.seconds) shouldBe PeerError.TimedOut.left()
                b.resume()
                a.network.call("b:1", ping, 1.seconds).getOrNull() shouldBe PeerMessage.Ack
                b.kill()
                a.network.call("b:1", ping, 1.seconds) shouldBe PeerError.Refused.left()
            }
        }

        test("timers of a paused machine fire when it resumes, not before") {
            runTest {
                val rig = Rig(this, seed = 1)
                val a = rig.answering("a", "x")
                var ticks = 0
                a.scope.launch {
                    repeat(3) {
                        delay(1.seconds)
                        ticks++
                    }
                }
                delay(1.5.seconds)
                a.pause()
                delay(10.seconds)
                ticks shouldBe 1
                a.resume()
                delay(1.5.seconds)
                ticks shouldBe 3
            }
        }
    })
