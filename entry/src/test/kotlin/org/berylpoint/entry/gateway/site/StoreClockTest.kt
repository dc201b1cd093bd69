package org.berylpoint.entry.gateway.site

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.berylpoint.entry.gateway.Clocks
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class StoreClockTest :
    FunSpec({
        test("the estimate is as far ahead as the fastest call was long") {
            val scene = ClockScene()
            val clock = scene.clock
            clock.nowMillis shouldBe null
            scene.call(400)
            clock.nowMillis shouldBe scene.storeMillis + 400
            scene.call(4)
            clock.nowMillis shouldBe scene.storeMillis + 4
            scene.time += 5.seconds
            scene.call(1_500)
            clock.nowMillis shouldBe scene.storeMillis + 4
        }

        // Guards against a view that looks fresh after the machine was suspended: the own clock stood still.
        test("suspended machine: an answer, or what a peer knows, moves the estimate on") {
            val scene = ClockScene()
            val clock = scene.clock
            scene.call(4)
            clock.record(answerMillis = scene.storeMillis + 6_000, sentAtMillis = clock.localMillis - 10)
            clock.nowMillis shouldBe scene.storeMillis + 6_010
            clock.advanceTo(scene.storeMillis + 9_000)
            clock.nowMillis shouldBe scene.storeMillis + 9_000
            clock.advanceTo(scene.storeMillis)
            clock.nowMillis shouldBe scene.storeMillis + 9_000
        }
    })

/** A [StoreClock] on the clock of the test, with a store whose clock is ahead. */
private class ClockScene {
    val time = TestTimeSource()
    private val start = time.markNow()
    val clock = StoreClock(Clocks(time) { 0 })

    val storeMillis: Long get() = start.elapsedNow().inWholeMilliseconds + OFFSET_MILLIS

    /** Makes a call of [millis] whose answer is made at its end. */
    fun call(millis: Long) {
        val sentAt = clock.localMillis
        time += millis.milliseconds
        clock.record(storeMillis, sentAt)
    }

    private companion object {
        const val OFFSET_MILLIS = 50_000L
    }
}
