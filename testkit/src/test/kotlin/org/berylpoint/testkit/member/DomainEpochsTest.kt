package org.berylpoint.testkit.member

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.berylpoint.entry.member.DomainEpochs
import org.berylpoint.entry.member.Membership
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.InstanceId
import org.berylpoint.peer.PeerMessage
import org.berylpoint.platform.RowKey
import org.berylpoint.testkit.rig.AbsentBackends
import org.berylpoint.testkit.rig.AbsentPlatform
import org.berylpoint.testkit.rig.Machine
import org.berylpoint.testkit.rig.Rig
import org.berylpoint.testkit.rig.context
import org.berylpoint.testkit.standin.Fault
import org.berylpoint.testkit.standin.MemoryTable
import kotlin.time.Duration.Companion.seconds

private val DOMAIN = FailureDomain("a")

private class EpochSite(test: TestScope, count: Int) {
    class Node(val machine: Machine, val membership: Membership, val epochs: DomainEpochs) {
        val members: List<String> get() = epochs.current.value[DOMAIN]?.members.orEmpty().map { it.id.value }
        val epoch: Long get() = epochs.current.value[DOMAIN]?.epoch ?: 0
    }

    val rig = Rig(test, seed = 11)
    val table = MemoryTable(test.backgroundScope)
    val nodes = linkedMapOf<String, Node>()
    val rowVersion: Long get() = table.content[RowKey("domain", "a")]?.version ?: 0

    init {
        (1..count).forEach { start("n$it") }
    }

    fun start(id: String): Node {
        val machine = rig.machine(id, DOMAIN)
        val seeds = listOf("n1:1", "n2:1", "n3:1")
        val own = table.caller(InstanceId(id))
        val context = rig.context(machine, own, AbsentPlatform, AbsentPlatform, AbsentBackends, seeds)
        val membership = Membership(context)
        val epochs = DomainEpochs(context, membership.view, membership::markDeparted)
        membership.attach(epochs)
        machine.network.serve { _, message -> membership.handle(message) ?: PeerMessage.Refusal("unknown") }
        membership.start()
        epochs.start()
        return Node(machine, membership, epochs).also { nodes[id] = it }
    }

    operator fun get(id: String): Node = nodes.getValue(id)

    fun isolate(id: String) = nodes.keys.filter { it != id }.forEach { rig.links.cut(InstanceId(id), InstanceId(it)) }
}

class DomainEpochsTest :
    FunSpec({
        fun test(name: String, count: Int, body: suspend (EpochSite) -> Unit) = test(name) {
            runTest {
                val site = EpochSite(this, count)
                delay(5.seconds)
                site.nodes.values.forEach { it.members shouldContainExactly site.nodes.keys.toList() }
                body(site)
            }
        }

        // Guards against an ended process that remains an owner of servers.
        test("a killed member is removed within 4 s", 3) { site ->
            site["n2"].machine.kill()
            delay(4.seconds)
            site["n1"].members shouldContainExactly listOf("n1", "n3")
            site["n3"].members shouldContainExactly listOf("n1", "n3")
        }

        // Guards against a suspended member that keeps its servers or acts under its old epoch after it resumes.
        test("a suspended member is removed after 10 s, has no valid epoch on resuming, and joins again", 3) { site ->
            site["n1"].machine.pause()
            delay(9.seconds)
            site["n2"].members shouldContainExactly listOf("n1", "n2", "n3")
            delay(5.seconds)
            site["n2"].members shouldContainExactly listOf("n2", "n3")
            delay(30.seconds)
            site["n1"].epochs.isValid() shouldBe false
            site["n1"].machine.resume()
            site["n1"].epochs.isValid() shouldBe false
            delay(5.seconds)
            site.nodes.values.forEach { it.members shouldContainExactly listOf("n1", "n2", "n3") }
        }

        // Guards against re-adding an instance that is draining its requests before it stops.
        test("an instance that leaves is not added again while it still runs", 3) { site ->
            site["n2"].epochs.leave() shouldBe true
            delay(10.seconds)
            site.nodes.values.forEach { it.members shouldContainExactly listOf("n1", "n3") }
        }

        // Guards against halved limits when only the platform is down,
        // and against an epoch that only some members confirm.
        test("during a platform outage an epoch stays valid as long as all members confirm it", 3) { site ->
            site.table.faults.all = Fault.DOWN
            delay(20.seconds)
            site.nodes.values.forEach { it.epochs.isValid() shouldBe true }
            site.isolate("n3")
            delay(7.seconds)
            site.nodes.values.forEach { it.epochs.isValid() shouldBe false }
        }

        // Guards against read times that only the polling instance knows: heartbeats must distribute them.
        test("reads by other instances keep the epoch valid on an instance without a path to the platform", 3) { site ->
            site.isolate("n3")
            site.rig.links.heal()
            site.table.faults[InstanceId("n2")] = Fault.CALLS_LOST
            delay(20.seconds)
            site["n2"].epochs.isValid() shouldBe true
        }

        // Guards against confirming an epoch while the outcome of a write that may replace it is unknown.
        test("a member does not confirm its epoch while the outcome of its write is unknown", 2) { site ->
            site.table.faults.all = Fault.ANSWERS_LOST
            site.table.faults[InstanceId("n2")] = Fault.CALLS_LOST
            val before = site.rowVersion
            site.start("n3")
            delay(12.seconds)
            site.rowVersion shouldBe before + 1
            site["n2"].epochs.isValid() shouldBe false
            site.table.faults.clear()
            delay(5.seconds)
            site.nodes.values.forEach { it.members shouldContainExactly listOf("n1", "n2", "n3") }
            site.nodes.values.forEach { it.epochs.isValid() shouldBe true }
        }

        // Guards against a new instance that removes members only because it can't reach them.
        test("a non-member removes only members that are confirmed departed", 2) { site ->
            val joining = site.start("n3")
            site.isolate("n3")
            delay(40.seconds)
            site["n1"].members shouldContainExactly listOf("n1", "n2")
            joining.members shouldContainExactly listOf("n1", "n2")
            site.nodes.values.filter { it !== joining }.forEach { it.machine.kill() }
            site.rig.links.heal()
            delay(10.seconds)
            joining.members shouldContainExactly listOf("n3")
        }
    })
