package org.berylpoint.testkit.check

import org.berylpoint.testkit.standin.CallerEvent
import org.berylpoint.testkit.standin.JournalEvent
import org.berylpoint.testkit.standin.SceneEvent
import org.berylpoint.testkit.standin.ServerEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Judges a run by the journals of servers and callers alone; the product's own counters are never read.
 *
 * All events must be on one clock. [coldGrace] is the time within which a server that became cold without telling
 * anybody may be over its limit, since its coldness shows only in its answers.
 */
public class InvariantChecker(
    events: List<JournalEvent>,
    private val stopGrace: Duration = 3.seconds,
    private val coldGrace: Duration = 10.seconds,
) {
    private val events = events.sortedBy { it.atMillis }
    private val accepted = this.events.filterIsInstance<ServerEvent.Accepted>()
    private val scene = this.events.filterIsInstance<SceneEvent>()
    private val acceptedByCall = accepted.groupBy { it.served.call }
    private val startsByCall =
        this.events.filterIsInstance<ServerEvent.Started>().groupingBy { it.served.call }.eachCount()
    private val sends = this.events.filterIsInstance<CallerEvent>().groupBy { it.call to it.send }.values
        .mapNotNull { Send.of(it) }
    private val sendsByCall = sends.groupBy { it.sent.call }

    /** One request of a caller with all that the caller saw of its answer. */
    private class Send(val sent: CallerEvent.Sent, val seen: List<CallerEvent>) {
        val text = seen.filterIsInstance<CallerEvent.Chunk>().joinToString("") { it.text }
        val complete = seen.firstNotNullOfOrNull { it as? CallerEvent.Complete }
        val problem = seen.firstNotNullOfOrNull { it as? CallerEvent.Problem }
        val end = seen.firstOrNull { isEnd(it) }
        val deadline = sent.atMillis + sent.deadlineMillis

        fun isOpenAt(millis: Long) = sent.atMillis <= millis && (end == null || millis <= end.atMillis)

        companion object {
            fun of(events: List<CallerEvent>): Send? =
                events.firstNotNullOfOrNull { it as? CallerEvent.Sent }?.let { Send(it, events) }

            private fun isEnd(event: CallerEvent) = event is CallerEvent.Complete ||
                event is CallerEvent.Problem ||
                event is CallerEvent.Disconnected
        }
    }

    /** Checks everything. */
    public fun check(): CheckReport = CheckReport(
        runTwice() + falseNotRun() + answers() + lost() + overLimit() + afterLeave() + afterTakeOut(),
        classes(),
    )

    private fun runTwice(): List<Violation> = sendsByCall
        .filter { (call, its) -> !its.first().sent.idempotent && (startsByCall[call] ?: 0) > 1 }
        .map { (call, _) -> Violation(ViolationKind.RUN_TWICE, call, "ran ${startsByCall[call]} times") }

    private fun falseNotRun(): List<Violation> = sends.filter { it.problem?.ran == NOT_RUN }.mapNotNull { send ->
        val problem = checkNotNull(send.problem)
        val others = sendsByCall.getValue(send.sent.call).filter { it !== send }
        val reached = acceptedByCall[send.sent.call].orEmpty().firstOrNull { arrival ->
            if (send.sent.idempotent) {
                arrival.atMillis >= send.sent.atMillis && others.none { it.isOpenAt(arrival.atMillis) }
            } else {
                // Sends of one non-idempotent call share a key and so are one request.
                arrival.atMillis <= problem.atMillis || others.none { it.sent.atMillis >= problem.atMillis }
            }
        }
        reached?.let {
            Violation(
                ViolationKind.FALSE_NOT_RUN,
                send.sent.call,
                "${problem.kind} at ${problem.atMillis} ms, reached ${it.served.server} at ${it.atMillis} ms",
            )
        }
    }

    private fun answers(): List<Violation> = sends.mapNotNull { send ->
        val expected = send.sent.expected ?: return@mapNotNull null
        val status = send.seen.firstNotNullOfOrNull { it as? CallerEvent.Head }?.status ?: 200
        when {
            status != 200 -> null

            !expected.startsWith(send.text) ->
                Violation(ViolationKind.WRONG_ANSWER, send.sent.call, "got '${send.text.takeLast(SHOWN)}'")

            send.complete != null && send.text != expected ->
                Violation(
                    ViolationKind.INCOMPLETE_ANSWER,
                    send.sent.call,
                    "${send.text.length} of ${expected.length} characters",
                )

            else -> null
        }
    }

    private fun lost(): List<Violation> {
        val last = events.lastOrNull()?.atMillis ?: 0
        val unanswered = sends.filter { it.end == null && last > it.deadline + stopGrace.inWholeMilliseconds }
            .map { Violation(ViolationKind.LOST, it.sent.call, "no answer to send ${it.sent.send}") }
        val recorded = events.filterIsInstance<SceneEvent.RecordedAsAccepted>().map { it.call }.distinct()
        val neverRun = recorded.filter { call ->
            call !in startsByCall && sendsByCall[call].orEmpty().none { it.problem?.ran == NOT_RUN }
        }
        return unanswered + neverRun.map { Violation(ViolationKind.LOST, it, "accepted and never run") }
    }

    private fun overLimit(): List<Violation> {
        val cold = events.filterIsInstance<SceneEvent.ServerBecameCold>().groupBy { it.server }
        val grace = coldGrace.inWholeMilliseconds
        return accepted.filter { it.inFlight > it.limit }
            .filter { over ->
                cold[over.served.server].orEmpty().none { over.atMillis - it.atMillis in 0..grace }
            }
            .map {
                val detail = "${it.served.server} had ${it.inFlight} of ${it.limit} at ${it.atMillis} ms"
                Violation(ViolationKind.OVER_LIMIT, it.served.call, detail)
            }
    }

    private fun afterLeave(): List<Violation> = accepted.mapNotNull { arrival ->
        val change = lastChange(arrival) {
            (it is SceneEvent.ServerLeaves && it.server == arrival.served.server) ||
                (it is SceneEvent.ServerStarted && it.server == arrival.served.server)
        }
        violationIf(change is SceneEvent.ServerLeaves, ViolationKind.WORK_AFTER_LEAVE, arrival, change)
    }

    private fun afterTakeOut(): List<Violation> = accepted.mapNotNull { arrival ->
        val change = lastChange(arrival) {
            (it is SceneEvent.DomainTakenOut && it.domain == arrival.domain) ||
                (it is SceneEvent.DomainBroughtBack && it.domain == arrival.domain)
        }
        violationIf(change is SceneEvent.DomainTakenOut, ViolationKind.WORK_AFTER_TAKE_OUT, arrival, change)
    }

    private fun lastChange(arrival: ServerEvent.Accepted, concerns: (SceneEvent) -> Boolean): SceneEvent? =
        scene.lastOrNull { it.atMillis <= arrival.atMillis && concerns(it) }

    private fun violationIf(
        stopped: Boolean,
        kind: ViolationKind,
        arrival: ServerEvent.Accepted,
        change: SceneEvent?,
    ): Violation? {
        if (!stopped || change == null) return null
        val after = arrival.atMillis - change.atMillis
        if (after <= stopGrace.inWholeMilliseconds) return null
        return Violation(kind, arrival.served.call, "${arrival.served.server} got it $after ms later")
    }

    private fun classes(): Map<String, ClassOutcome> =
        sendsByCall.values.groupBy { it.first().sent.requestClass }.toSortedMap().mapValues { (_, calls) ->
            calls.fold(ClassOutcome()) { sum, sends -> sum.plus(sends) }
        }

    private fun ClassOutcome.plus(sends: List<Send>): ClassOutcome {
        val call = sends.first().sent
        val twice = !call.idempotent && (startsByCall[call.call] ?: 0) > 1
        val counted = if (twice) copy(runTwice = runTwice + 1) else this
        val whole = sends.filter { it.complete != null && (it.sent.expected == null || it.text == it.sent.expected) }
        return when {
            whole.any { checkNotNull(it.complete).atMillis <= it.deadline } && !twice ->
                counted.copy(accepted = accepted + 1, completedOnce = completedOnce + 1)

            whole.isNotEmpty() -> if (twice) {
                counted.copy(accepted = accepted + 1)
            } else {
                counted.copy(accepted = accepted + 1, late = late + 1)
            }

            sends.all { it.problem?.ran == NOT_RUN } -> counted.copy(refusedNotRun = refusedNotRun + 1)

            sends.any { it.problem?.ran == RAN } -> counted.copy(accepted = accepted + 1, failed = failed + 1)

            else -> counted.copy(accepted = accepted + 1, unknown = unknown + 1)
        }
    }

    private companion object {
        const val NOT_RUN = "not-run"
        const val RAN = "ran"
        const val SHOWN = 40
    }
}
