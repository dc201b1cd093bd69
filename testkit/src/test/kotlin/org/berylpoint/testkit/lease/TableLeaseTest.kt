package org.berylpoint.testkit.lease

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.berylpoint.entry.lease.TableLease
import org.berylpoint.model.FailureDomain
import org.berylpoint.testkit.rig.AbsentBackends
import org.berylpoint.testkit.rig.AbsentPlatform
import org.berylpoint.testkit.rig.Machine
import org.berylpoint.testkit.rig.Rig
import org.berylpoint.testkit.rig.context
import org.berylpoint.testkit.standin.Fault
import org.berylpoint.testkit.standin.MemoryTable
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class TableLeaseTest :
    FunSpec({
        class Competitor(val machine: Machine, val lease: TableLease)

        class Site(test: TestScope) {
            val rig = Rig(test, seed = 3)
            val table = MemoryTable(test.backgroundScope)
            val overlaps = mutableListOf<String>()
            val all = List(3) { i ->
                val machine = rig.machine("n$i", FailureDomain("muc-a"))
                val client = table.caller(machine.instance.id)
                val context = rig.context(machine, client, AbsentPlatform, AbsentPlatform, AbsentBackends, emptyList())
                Competitor(machine, TableLease(context, client, "judge/chat"))
            }

            val holders get() = all.filter { it.lease.fencingNumber() != null }
            val holder get() = holders.single()

            init {
                all.forEach { it.lease.start() }
                test.backgroundScope.launch {
                    while (true) {
                        if (holders.size > 1) overlaps += holders.map { "${it.machine.instance.id}" }.toString()
                        delay(50.milliseconds)
                    }
                }
            }
        }

        fun case(block: suspend (Site) -> Unit) = runTest(timeout = 2.minutes) {
            val site = Site(this)
            delay(1.seconds)
            block(site)
            // The lease must prevent two instances from acting under it at the same time.
            site.overlaps.shouldBeEmpty()
        }

        test("a single instance holds the lease, and renewals keep its fencing number") {
            case { site ->
                val first = site.holder
                delay(60.seconds)
                site.holder shouldBe first
                first.lease.fencingNumber() shouldBe 1
            }
        }

        test("after the holder is killed, another instance acquires the lease with a higher fencing number") {
            case { site ->
                val first = site.holder
                first.machine.kill()
                delay(20.seconds)
                site.holder.lease.fencingNumber() shouldBe 2
                (site.holder != first) shouldBe true
            }
        }

        test("a holder that was suspended past the expiry of its lease does not act after it resumes") {
            case { site ->
                val first = site.holder
                first.machine.pause()
                delay(30.seconds)
                first.lease.fencingNumber().shouldBeNull()
                first.machine.resume()
                delay(100.milliseconds)
                first.lease.fencingNumber().shouldBeNull()
                site.holder.lease.fencingNumber() shouldBe 2
            }
        }

        test("a holder that can't reach the table stops acting 2 s before others may acquire the lease") {
            case { site ->
                val first = site.holder
                site.table.faults[first.machine.instance.id] = Fault.CALLS_LOST
                delay(8.seconds)
                first.lease.fencingNumber().shouldBeNull()
                delay(10.seconds)
                site.holder.lease.fencingNumber() shouldBe 2
            }
        }

        test("a table outage for all instances ends the lease; an instance acquires it after the outage") {
            case { site ->
                site.table.faults.all = Fault.DOWN
                delay(30.seconds)
                site.holders.shouldBeEmpty()
                site.table.faults.clear()
                delay(20.seconds)
                site.holder.lease.fencingNumber().shouldNotBeNull()
            }
        }

        test("a holder keeps the lease if its renewals take effect but the responses are lost") {
            case { site ->
                val first = site.holder
                site.table.faults.rule = { if (it.isWrite) Fault.ANSWERS_LOST else Fault.NONE }
                delay(60.seconds)
                site.holder shouldBe first
                first.lease.fencingNumber() shouldBe 1
            }
        }

        test("another instance acquires a released lease without waiting for its expiry") {
            case { site ->
                val first = site.holder
                first.machine.pause()
                first.lease.release()
                delay(4.seconds)
                site.holder.lease.fencingNumber() shouldBe 2
                (site.holder != first) shouldBe true
            }
        }
    })
