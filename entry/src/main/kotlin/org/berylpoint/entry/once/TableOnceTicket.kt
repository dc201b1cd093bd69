package org.berylpoint.entry.once

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.berylpoint.entry.once.OnceRecord.State
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.Problem
import org.berylpoint.peer.KeyOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/** Outcome of a held request on this instance. */
internal sealed interface LocalOutcome {
    data class Answered(val answer: StoredAnswer) : LocalOutcome

    data object Unknown : LocalOutcome

    /** The request did not run here; another attempt may begin. */
    data object NotRun : LocalOutcome
}

/**
 * The ticket of a record in the table.
 *
 * The final state of the record is written by a coroutine of [scope] that retries until the write is confirmed or
 * another instance has taken the record over; then [onClosed] is called. Only the first final state is written.
 */
internal class TableOnceTicket(
    val key: KeyOf,
    accepted: StoredRecord,
    private val store: OnceStore,
    private val scope: CoroutineScope,
    /** Whether an abandoned request stays accepted, because it has no caller that could repeat it. */
    private val keepsAcceptedOnAbandon: Boolean,
    private val onClosed: (TableOnceTicket) -> Unit,
) : OnceTicket {
    private val mutex = Mutex()

    /** The last record known to be stored. */
    var lastStored: StoredRecord = accepted
        private set

    /** Whether another instance has taken the record over. */
    var isTakenOver: Boolean = false
        private set

    private var isFinalStateSet = false

    /** Whether the stored state prevents other instances from running the request. */
    private var excludesOtherRuns = false
    private val outcome = CompletableDeferred<LocalOutcome>()

    /** Completes as soon as this instance knows the outcome. */
    val localOutcome: CompletableDeferred<LocalOutcome> get() = outcome

    val record: OnceRecord get() = lastStored.record

    /** Whether the request is accepted but not dispatched, so that it may be handed over. */
    val isAwaitingDispatch: Boolean get() = !isTakenOver && !outcome.isCompleted && record.state == State.Accepted

    override val mayRunElsewhere: Boolean get() = !excludesOtherRuns || isTakenOver

    override suspend fun dispatch(server: BackendServerId): Either<Problem, Unit> {
        val isStored = withTimeoutOrNull(DISPATCH_WRITE_TIMEOUT) { advance(State.Dispatched(server)) } ?: false
        return when {
            isStored -> Unit.right()
            isTakenOver -> Problem(ErrorKind.OutcomeUnknown, "another instance has taken the request over").left()
            else -> Problem(ErrorKind.StoreUnavailable, "the table service did not confirm the dispatch").left()
        }
    }

    override suspend fun finish(answer: StoredAnswer) {
        outcome.complete(LocalOutcome.Answered(answer))
        val body = answer.body.takeIf { it.length <= MAX_STORED_CHARS }
        storeFinalState(State.Done(answer.status, answer.contentType, body))
    }

    override suspend fun abandon() {
        // A repeat must not find the key released before the release is confirmed.
        storeFinalState(if (keepsAcceptedOnAbandon) State.Accepted else State.Released) {
            outcome.complete(LocalOutcome.NotRun)
        }
    }

    override suspend fun markOutcomeUnknown() {
        outcome.complete(LocalOutcome.Unknown)
        storeFinalState(State.Unknown)
    }

    private fun markTakenOver() {
        isTakenOver = true
        outcome.complete(LocalOutcome.NotRun)
        onClosed(this)
    }

    private suspend fun storeFinalState(state: State, afterWrite: () -> Unit = {}) {
        if (isFinalStateSet) return
        isFinalStateSet = true
        val job = scope.launch {
            if (!advance(state)) {
                log.warn { "once: final state of ${key.key} not stored: this instance no longer holds the record" }
            }
            afterWrite()
            onClosed(this@TableOnceTicket)
        }
        withTimeoutOrNull(FINAL_WRITE_WAIT) { job.join() }
    }

    private suspend fun advance(state: State): Boolean = mutex.withLock {
        if (isTakenOver) return false
        val next = store.advanceUntilStored(key, lastStored, state)
        if (next == null) {
            markTakenOver()
        } else {
            lastStored = next
            excludesOtherRuns = state != State.Accepted
        }
        next != null
    }

    companion object {
        /** Limit on recording a dispatch, which must start within 2 s of its grant. */
        val DISPATCH_WRITE_TIMEOUT: Duration = 2.seconds

        /** Time to wait for the confirmation of the final state; afterwards the write goes on in the background. */
        val FINAL_WRITE_WAIT: Duration = 2.seconds

        // A row has at most 400 KB; a character takes up to 3 bytes, and the row contains the request and the answer.
        const val MAX_STORED_CHARS: Int = 60_000
    }
}
