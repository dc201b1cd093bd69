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

/** One request and the state of its answer while the filters handle it. */
internal class Exchange(
    val request: ServeRequest,
    /** Catalogue entries of the request's class, read when the request was accepted. */
    val entries: List<CatalogueEntry>,
    private val sink: suspend (ResponseEvent) -> Unit,
) {
    /** Limits of the class, read from the first entry: entries of one class differ only in their version. */
    val limits: ClassLimits get() = entries.first().limits

    /** The parsed body of a chat request; null for plain services. */
    val chat: ChatBody? by lazy(LazyThreadSafetyMode.NONE) {
        if (request.kind == ServiceKind.MODEL) ChatBody.parse(request.body) else null
    }

    val remaining: Duration get() = -request.deadline.elapsedNow()

    private var settledState = RunState.NOT_RUN
    private var isAttemptOpen = false

    /** Whether a server has run the request; unknown while an attempt that may have reached a server is open. */
    val runState: RunState get() = if (isAttemptOpen) maxOf(settledState, RunState.UNKNOWN) else settledState

    /** Whether the last event of the answer was emitted. */
    var isAnswered: Boolean = false
        private set

    private var attempts = 0

    /** Returns the id of the next attempt, unique across all entry instances. */
    fun nextAttempt(): String = "${request.id}/${++attempts}"

    /** Records that an attempt starts: from now on a byte of it may reach a server. */
    fun markAttemptStarted() {
        settledState = runState
        isAttemptOpen = true
    }

    /** Records that no byte of the most recent attempt was sent. */
    fun markAttemptNotSent() {
        isAttemptOpen = false
    }

    /** Records that a server has answered, so the request has run. */
    fun markRan() {
        settledState = RunState.RAN
    }

    /** Emits an event of the answer; events after the last one are dropped. */
    suspend fun emit(event: ResponseEvent) {
        if (isAnswered) return
        if (event is ResponseEvent.End || event is ResponseEvent.Failed) isAnswered = true
        sink(if (event is ResponseEvent.Failed) ResponseEvent.Failed(withActualRunState(event.problem)) else event)
    }

    suspend fun fail(problem: Problem) = emit(ResponseEvent.Failed(problem))

    suspend fun fail(kind: ErrorKind, detail: String) = fail(Problem(kind, detail))

    // The only place that ensures P6: a problem never reports not-run once a server may have been reached, whatever run
    // state the filter gave it.
    private fun withActualRunState(problem: Problem): Problem =
        if (problem.runState == RunState.NOT_RUN && runState != RunState.NOT_RUN) {
            problem.copy(runState = runState)
        } else {
            problem
        }
}
