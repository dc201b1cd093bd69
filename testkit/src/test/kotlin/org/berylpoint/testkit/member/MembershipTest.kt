package org.berylpoint.testkit.member

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.berylpoint.entry.member.Member
import org.berylpoint.entry.member.Membership
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.InstanceId
import org.berylpoint.peer.PeerMessage
import org.berylpoint.testkit.rig.AbsentBackends
import org.berylpoint.testkit.rig.AbsentPlatform
import org.berylpoint.testkit.rig.Machine
import org.berylpoint.testkit.rig.Rig
import org.berylpoint.testkit.rig.context
import kotlin.time.Duration.Companion.seconds

private class Site(test: TestScope, count: Int) {
    val rig = Rig(test, seed = 7)
    val machines = mutableListOf<Machine>()
    val memberships = mutableMapOf<InstanceId, Membership>()

    init {
        repeat(count) { start("n$it") }
    }

    fun start(id: String): Machine {
        val machine = rig.machine(id, FailureDomain("d${machines.size % 4}"))
        val platform = AbsentPlatform
        val context = rig.context(machine, platform, platform, platform, AbsentBackends, listOf("n0:1", "n1:1"))
        val membership = Membership(context)
        machine.network.serve { _, message -> membership.handle(message) ?: PeerMessage.Refusal("unknown") }
        membership.start()
        machines += machine
        memberships[machine.instance.id] = membership
        return machine
    }

    fun view(machine: Machine) = memberships.getValue(machine.instance.id).view.value
}

class MembershipTest :
    FunSpec({
        test("all members discover each other from two seeds, with 9 and with 40 members") {
            listOf(9 to 2.seconds, 40 to 8.seconds).forEach { (count, time) ->
                runTest {
                    val site = Site(this, count)
                    delay(time)
                    site.machines.forEach { site.view(it).alive.size shouldBe count }
                }
            }
        }

        test("a killed member departs from all views because its port refuses connections") {
            runTest {
                val site = Site(this, 9)
                delay(3.seconds)
                site.machines[4].kill()
                delay(2.seconds)
                site.machines.filter { it.isAlive }.forEach {
                    site.view(it).departed shouldContain InstanceId("n4")
                    site.view(it).alive.size shouldBe 8
                }
            }
        }

        test("a suspended or partitioned member becomes suspect but not departed, and later alive again") {
            runTest {
                val site = Site(this, 9)
                delay(3.seconds)
                site.machines[3].pause()
                site.rig.links.isolate(FailureDomain("d2"))
                delay(60.seconds)
                val view = site.view(site.machines[0])
                view.members.values.filter { it.state == Member.State.SUSPECT }.map { it.instance.id.value }
                    .shouldContainExactlyInAnyOrder("n2", "n3", "n6")
                view.departed shouldBe emptySet()
                site.machines[3].resume()
                site.rig.links.heal()
                delay(3.seconds)
                site.machines.forEach { site.view(it).alive.size shouldBe 9 }
            }
        }

        test("a member that sends Leave departs at once, and a replacement can join") {
            runTest {
                val site = Site(this, 9)
                delay(3.seconds)
                val leaving = site.machines[5]
                site.memberships.getValue(leaving.instance.id).leave()
                leaving.kill()
                site.view(site.machines[0]).departed shouldContain InstanceId("n5")
                site.start("n9")
                delay(2.seconds)
                site.view(site.machines[0]).alive.size shouldBe 9
            }
        }
    })
