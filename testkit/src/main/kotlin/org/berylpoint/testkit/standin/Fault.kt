package org.berylpoint.testkit.standin

import org.berylpoint.model.InstanceId
import kotlin.time.Duration

/** What goes wrong with the calls of a stand-in; faults add up. */
public data class Fault(
    /** Connections are refused: nothing takes effect. */
    val down: Boolean = false,
    /** Half of it passes before a call takes effect and half after it. */
    val delay: Duration = Duration.ZERO,
    /** Calls take effect, but their answers are lost. */
    val loseAnswers: Boolean = false,
    /** Calls are lost on their way: no effect and no answer. */
    val loseCalls: Boolean = false,
) {
    /** Both faults at once. */
    public operator fun plus(other: Fault): Fault = Fault(
        down = down || other.down,
        delay = delay + other.delay,
        loseAnswers = loseAnswers || other.loseAnswers,
        loseCalls = loseCalls || other.loseCalls,
    )

    public companion object {
        public val NONE: Fault = Fault()
        public val DOWN: Fault = Fault(down = true)
        public val ANSWERS_LOST: Fault = Fault(loseAnswers = true)
        public val CALLS_LOST: Fault = Fault(loseCalls = true)

        /** Every call takes [delay] longer. */
        public fun slow(delay: Duration): Fault = Fault(delay = delay)
    }
}

/** One call to a stand-in, as seen by a fault rule. */
public data class StandInCall(
    /** The name of the operation, as in `transact`. */
    val operation: String,
    val isWrite: Boolean,
    /** Null for calls that name no caller. */
    val caller: InstanceId?,
)
