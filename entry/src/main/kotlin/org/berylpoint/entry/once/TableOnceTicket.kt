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

/** How a held request ended on this instance. */
internal sealed interface LocalOutcome {
    data class Answered(val answer: StoredAnswer) : LocalOutcome

    data object Unknown : LocalOutcome

    /** Did not run here; another attempt may begin. */
    data object NotRun : LocalOutcome
}

/**
 * The ticket of a record in the table.
 *
 * Steps that end the record are written in the background of [scope] until they are confirmed; then [onStored] is
 * called. Only the first of them counts.
 */
internal class TableOnceTicket(
    val key: KeyOf,
    accepted: StoredRecord,
    private val store: OnceStore,
    private val scope: CoroutineScope,
    /** Whether the request is kept accepted when it is abandoned, because no caller is left to repeat it. */
    private val keepsAcceptedOnAbandon: Boolean,
    private val onStored: (TableOnceTicket) -> Unit,
) : OnceTicket {
    private val mutex = Mutex()

    /** The last step known to be stored. */
    var lastStored: StoredRecord = accepted
        private set

    /** Whether another instance holds the record now. */
    var isTakenOver: Boolean = false
        private set

    private var isEnded = false

    /** Whether the table has a step after which nobody else runs the request. */
    private var isSafe = false
    private val ending = CompletableDeferred<LocalOutcome>()

    /** Completes when the outcome is known on this instance. */
    val localOutcome: CompletableDeferred<LocalOutcome> get() = ending

    val record: OnceRecord get() = lastStored.record

    /** Whether the request waits for its dispatch and may be handed over. */
    val isAwaitingDispatch: Boolean get() = !isTakenOver && !ending.isCompleted && record.state == State.Accepted

    override val mayRunElsewhere: Boolean get() = !isSafe || isTakenOver

    override suspend fun dispatch(server: BackendServerId): Either<Problem, Unit> {
        val isStored = withTimeoutOrNull(DISPATCH_BOUND) { advance(State.Dispatched(server)) } ?: false
        return when {
            isStored -> Unit.right()
            isTakenOver -> Problem(ErrorKind.OutcomeUnknown, "another instance has taken the request over").left()
            else -> Problem(ErrorKind.StoreUnavailable, "the dispatch could not be recorded").left()
        }
    }

    override suspend fun finish(answer: StoredAnswer) {
        ending.complete(LocalOutcome.Answered(answer))
        val body = answer.body.takeIf { it.length <= MAX_STORED_CHARS }
        end(State.Done(answer.status, answer.contentType, body))
    }

    override suspend fun abandon() {
        // Before the release is confirmed, a repeat must not find the key free.
        end(if (keepsAcceptedOnAbandon) State.Accepted else State.Released) { ending.complete(LocalOutcome.NotRun) }
    }

    override suspend fun markOutcomeUnknown() {
        ending.complete(LocalOutcome.Unknown)
        end(State.Unknown)
    }

    private fun lose() {
        isTakenOver = true
        ending.complete(LocalOutcome.NotRun)
        onStored(this)
    }

    private suspend fun end(state: State, then: () -> Unit = {}) {
        if (isEnded) return
        isEnded = true
        val job = scope.launch {
            if (!advance(state)) log.warn { "once: ${key.key} is no longer held here" }
            then()
            onStored(this@TableOnceTicket)
        }
        withTimeoutOrNull(END_BOUND) { job.join() }
    }

    private suspend fun advance(state: State): Boolean = mutex.withLock {
        if (isTakenOver) return false
        val next = store.advanceUntilStored(key, lastStored, state)
        if (next == null) {
            lose()
        } else {
            lastStored = next
            isSafe = state != State.Accepted
        }
        next != null
    }

    companion object {
        /** The start of a dispatch must follow within 2 s of the grant, so a longer wait is no use. */
        val DISPATCH_BOUND: Duration = 2.seconds

        /** Wait for the confirmation of the last step; the write goes on in the background. */
        val END_BOUND: Duration = 2.seconds

        // A row holds at most 400 KB; a character takes up to 3 bytes, and the request is in the row too.
        const val MAX_STORED_CHARS: Int = 60_000
    }
}
