package org.berylpoint.testkit.proofs

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.berylpoint.testkit.rig.Site
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

class OrdinaryDayTest :
    FunSpec({
        test("at the size of today every chat and every booking is answered once, whole and on time") {
            runTest(timeout = 5.minutes) {
                val site = Site(this, seed = 1)
                site.startUp()
                coroutineScope {
                    repeat(200) { number ->
                        launch { site.caller.chat(site.nodes[number % 9], "chat-$number", "topic ${number % 7}", 40) }
                        launch { site.caller.bookingUntilAnswered("booking-$number") { site.nodes[(number + it) % 9] } }
                        delay(50.milliseconds)
                    }
                }
                val report = site.check()
                report.violations.shouldBeEmpty()
                report.classes.getValue("chat").completedOnce shouldBe 200
                report.classes.getValue("booking").completedOnce shouldBe 200
            }
        }
    })
