package org.berylpoint.entry.pipeline

import org.berylpoint.entry.stream.ChatBody
import org.berylpoint.model.CatalogueEntry
import org.berylpoint.model.ClassLimits
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.Problem
import org.berylpoint.model.ResponseEvent
import org.berylpoint.model.RunState
import org.berylpoint.model.ServeRequest
import org.berylpoint.model.ServiceKind
import kotlin.time.Duration

/** One request on its way through the filters, with the answer given so far. */
internal class Exchange(
    val request: ServeRequest,
    /** The entries of the request's class when it was admitted. */
    val entries: List<CatalogueEntry>,
    private val sink: suspend (ResponseEvent) -> Unit,
) {
    /** Limits of the class; entries of one class differ in version only, so the first one speaks for all. */
    val limits: ClassLimits get() = entries.first().limits

    /** The parsed body of a chat request; null for plain services. */
    val chat: ChatBody? by lazy(LazyThreadSafetyMode.NONE) {
        if (request.kind == ServiceKind.MODEL) ChatBody.parse(request.body) else null
    }

    val remaining: Duration get() = -request.deadline.elapsedNow()

    private var settled = RunState.NOT_RUN
    private var isOpen = false

    /** Whether a server was reached, by what is known now; an attempt that was just started may have reached one. */
    val runState: RunState get() = if (isOpen) maxOf(settled, RunState.UNKNOWN) else settled

    /** Whether the last part of the answer was given. */
    var isAnswered: Boolean = false
        private set

    private var attempts = 0

    /** Names the next attempt, unique over all entry instances. */
    fun nextAttempt(): String = "${request.id}/${++attempts}"

    /** Notes that an attempt starts: from now on a byte of it may reach a server. */
    fun markAttemptStarted() {
        settled = runState
        isOpen = true
    }

    /** Notes that no byte of the attempt started last has left. */
    fun markAttemptNotSent() {
        isOpen = false
    }

    /** Notes that a server answered. */
    fun markRan() {
        settled = RunState.RAN
    }

    /** Gives a part of the answer; parts after the last one are dropped. */
    suspend fun emit(event: ResponseEvent) {
        if (isAnswered) return
        if (event is ResponseEvent.End || event is ResponseEvent.Failed) isAnswered = true
        sink(if (event is ResponseEvent.Failed) ResponseEvent.Failed(truthful(event.problem)) else event)
    }

    suspend fun fail(problem: Problem) = emit(ResponseEvent.Failed(problem))

    suspend fun fail(kind: ErrorKind, detail: String) = fail(Problem(kind, detail))

    // The one place that keeps P6: whatever a filter thought, not-run is never told once a server may have been
    // reached.
    private fun truthful(problem: Problem) = if (problem.runState == RunState.NOT_RUN && runState != RunState.NOT_RUN) {
        problem.copy(runState = runState)
    } else {
        problem
    }
}
