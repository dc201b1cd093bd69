package org.berylpoint.testkit.proofs

import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.berylpoint.testkit.check.CheckReport
import org.berylpoint.testkit.rig.FaultKind
import org.berylpoint.testkit.rig.FaultStep
import org.berylpoint.testkit.rig.Site
import org.berylpoint.testkit.rig.SitePlan
import org.berylpoint.testkit.rig.endFaults
import org.berylpoint.testkit.rig.strike
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val plan = SitePlan(domains = listOf("a", "b", "c"), instances = 6, engines = 4, plainServers = 3)

/** Runs load over a small site while [steps] happen, lets the faults end, and judges the journals. */
internal fun runSchedule(seed: Int, steps: List<FaultStep>): CheckReport {
    lateinit var report: CheckReport
    runTest(timeout = 5.minutes) {
        val site = Site(this, seed, plan)
        site.startUp()
        coroutineScope {
            launch { steps.forEach { site.strike(it) } }
            repeat(40) { number ->
                val at = site.running[number % site.running.size]
                launch {
                    site.caller.chat(at, "chat-$number", "topic ${number % 5}", tokens = 60, deadline = 20.seconds)
                }
                launch { site.caller.bookingUntilAnswered("booking-$number") { site.running.random(site.random) } }
                delay(250.milliseconds)
            }
            delay(10.seconds)
            site.endFaults()
        }
        delay(30.seconds)
        report = site.check()
    }
    return report
}

@OptIn(ExperimentalKotest::class)
class RandomFaultsTest :
    FunSpec({
        val step = Arb.bind(Arb.int(0..4_000), Arb.enum<FaultKind>(), Arb.int(0..11)) { after, kind, target ->
            FaultStep(after, kind, target)
        }

        test("a stopping instance does not say `not-run` of a booking whose earlier send ran elsewhere") {
            val found = listOf(
                FaultStep(43, FaultKind.FREEZE_INSTANCE, 4),
                FaultStep(87, FaultKind.SILENCE_CONNECTIONS, 4),
                FaultStep(1_841, FaultKind.CUT_FROM_PLATFORM, 7),
                FaultStep(176, FaultKind.STOP_INSTANCE, 10),
            )
            runSchedule(seed = 1, found).violations.shouldBeEmpty()
        }

        test("a repeat of a booking whose holder was killed is not refused as `not-run`") {
            val found = listOf(FaultStep(1_531, FaultKind.KILL_INSTANCE, 11))
            runSchedule(seed = 1, found).violations.shouldBeEmpty()
        }

        test("random schedules of up to six failures over three domains break no promise") {
            checkAll(PropTestConfig(seed = 20_261_204, iterations = 100), Arb.list(step, 1..6)) { steps ->
                runSchedule(seed = 1, steps).violations.shouldBeEmpty()
            }
        }
    })
