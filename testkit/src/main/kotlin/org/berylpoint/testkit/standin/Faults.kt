package org.berylpoint.testkit.standin

import arrow.core.Either
import arrow.core.left
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.berylpoint.model.InstanceId
import org.berylpoint.platform.PlatformError
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Switches for the faults of one stand-in, for all callers or one, and counters of its calls.
 *
 * ```
 * table.faults.all = Fault.slow(300.milliseconds)
 * table.faults[InstanceId("a")] = Fault.DOWN
 * table.faults.loseNextAnswers(1)
 * ```
 *
 * A call that would take longer than [callTimeout] ends with [PlatformError.NoAnswer] after it. With a [scope], such
 * a call still takes effect later, as it does in a service that has received the request; without one it does not.
 */
public class Faults(private val scope: CoroutineScope? = null, public val callTimeout: Duration = 2.seconds) {
    private val lock = Any()
    private val byCaller = mutableMapOf<InstanceId, Fault>()
    private val counts = mutableMapOf<StandInCall, Long>()
    private var answersToLose = 0

    /** Applies to all callers. */
    @Volatile
    public var all: Fault = Fault.NONE

    /** Decides by call; adds to the other faults. */
    @Volatile
    public var rule: (StandInCall) -> Fault = { Fault.NONE }

    /** The fault for one caller. */
    public operator fun get(caller: InstanceId): Fault = synchronized(lock) { byCaller[caller] ?: Fault.NONE }

    /** Sets the fault for one caller. */
    public operator fun set(caller: InstanceId, fault: Fault): Unit = synchronized(lock) { byCaller[caller] = fault }

    /** Loses the answers of the next [count] writes, which take effect. */
    public fun loseNextAnswers(count: Int): Unit = synchronized(lock) { answersToLose = count }

    /** Ends all faults. */
    public fun clear(): Unit = synchronized(lock) {
        all = Fault.NONE
        rule = { Fault.NONE }
        byCaller.clear()
        answersToLose = 0
    }

    /** Calls so far, failed ones included. */
    public val calls: Map<StandInCall, Long> get() = synchronized(lock) { counts.toMap() }

    /** Calls so far of [operation], or of all when it is null, by [caller], or by all when it is null. */
    public fun count(operation: String? = null, caller: InstanceId? = null): Long = calls.entries
        .filter { (call, _) -> operation == null || call.operation == operation }
        .filter { (call, _) -> caller == null || call.caller == caller }
        .sumOf { it.value }

    internal suspend fun <T> apply(
        call: StandInCall,
        effect: () -> Either<PlatformError, T>,
    ): Either<PlatformError, T> {
        val fault = faultOf(call)
        if (fault.down) return PlatformError.Unavailable("connection refused").left()
        if (fault.loseCalls) return noAnswer()
        if (fault.delay > callTimeout) {
            scope?.launch {
                delay(fault.delay)
                effect()
            }
            return noAnswer()
        }
        if (fault.delay.isPositive()) delay(fault.delay / 2)
        val result = effect()
        if (fault.loseAnswers) return noAnswer()
        if (fault.delay.isPositive()) delay(fault.delay / 2)
        return result
    }

    private suspend fun noAnswer(): Either<PlatformError, Nothing> {
        delay(callTimeout)
        return PlatformError.NoAnswer("no answer within $callTimeout").left()
    }

    private fun faultOf(call: StandInCall): Fault = synchronized(lock) {
        counts.merge(call, 1, Long::plus)
        val lost = call.isWrite && answersToLose > 0
        if (lost) answersToLose--
        all + rule(call) + (byCaller[call.caller] ?: Fault.NONE) + Fault(loseAnswers = lost)
    }
}
