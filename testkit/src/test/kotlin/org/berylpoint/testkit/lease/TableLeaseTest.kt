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
                val view = table.caller(machine.instance.id)
                val context = rig.context(machine, view, AbsentPlatform, AbsentPlatform, AbsentBackends, emptyList())
                Competitor(machine, TableLease(context, view, "judge/chat"))
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
            // Two instances that act under one lease at the same time are the failure that a lease exists against.
            site.overlaps.shouldBeEmpty()
        }

        test("one instance holds the lease and keeps its fencing number while it renews") {
            case { site ->
                val first = site.holder
                delay(60.seconds)
                site.holder shouldBe first
                first.lease.fencingNumber() shouldBe 1
            }
        }

        test("after the holder was killed another takes the lease over with a higher fencing number") {
            case { site ->
                val first = site.holder
                first.machine.kill()
                delay(20.seconds)
                site.holder.lease.fencingNumber() shouldBe 2
                (site.holder != first) shouldBe true
            }
        }

        test("a holder that was frozen past its lease does not act after it thaws") {
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

        test("a holder that can't reach the table stops acting 2 s before others may take over") {
            case { site ->
                val first = site.holder
                site.table.faults[first.machine.instance.id] = Fault.CALLS_LOST
                delay(8.seconds)
                first.lease.fencingNumber().shouldBeNull()
                delay(10.seconds)
                site.holder.lease.fencingNumber() shouldBe 2
            }
        }

        test("an outage of the table for all ends the lease, and it is taken again afterwards") {
            case { site ->
                site.table.faults.all = Fault.DOWN
                delay(30.seconds)
                site.holders.shouldBeEmpty()
                site.table.faults.clear()
                delay(20.seconds)
                site.holder.lease.fencingNumber().shouldNotBeNull()
            }
        }

        test("a holder whose renewals take effect but whose answers are lost keeps the lease") {
            case { site ->
                val first = site.holder
                site.table.faults.rule = { if (it.isWrite) Fault.ANSWERS_LOST else Fault.NONE }
                delay(60.seconds)
                site.holder shouldBe first
                first.lease.fencingNumber() shouldBe 1
            }
        }

        test("a released lease is taken by another instance without waiting for its expiry") {
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
