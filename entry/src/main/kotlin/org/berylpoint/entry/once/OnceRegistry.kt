package org.berylpoint.entry.once

import arrow.core.Either
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.Problem
import org.berylpoint.model.ServeRequest

/** Guarantees that a non-idempotent request runs at most once across all entry instances. */
public interface OnceRegistry {
    /** Records [request] as accepted, or returns the outcome of an earlier request with the same key. */
    public suspend fun begin(request: ServeRequest): OnceDecision

    /**
     * Whether an earlier request with the key of [request] may have run or may still run; true if that can't be
     * determined. Used for refusals that precede [begin].
     */
    public suspend fun mayHaveRun(request: ServeRequest): Boolean
}

/** What to do with a non-idempotent request. */
public sealed interface OnceDecision {
    /** This instance holds the record and must run the request. */
    public data class Run(val ticket: OnceTicket) : OnceDecision

    /** An earlier request with this key was answered with [answer]. */
    public data class Answered(val answer: StoredAnswer) : OnceDecision

    public data class Refused(val problem: Problem) : OnceDecision
}

/** Handle to the record of one accepted non-idempotent request that this instance holds. */
public interface OnceTicket {
    /**
     * Whether another instance may still run the request: the release of the key is not confirmed yet, or another
     * instance has taken the record over. The answer must then not say `not-run`, even if this instance sent no byte
     * to a server.
     */
    public val mayRunElsewhere: Boolean get() = false

    /**
     * Records the dispatch to [server]. The request may be sent only if this succeeds, and only once. Until its first
     * byte is sent, a further call may record another server.
     *
     * Fails with `OutcomeUnknown` if another instance has taken the request over; [OnceRegistry.begin] then waits for
     * the answer from that instance.
     */
    public suspend fun dispatch(server: BackendServerId): Either<Problem, Unit>

    /** Stores the answer for repeats. Returns once it is stored or after a timeout; retries go on in the background. */
    public suspend fun finish(answer: StoredAnswer)

    /** Releases the key when no byte was sent, so that a repeat may run. Valid whether [dispatch] succeeded or not. */
    public suspend fun abandon()

    /** Records that the request was sent and its outcome can't be determined; repeats fail with `OutcomeUnknown`. */
    public suspend fun markOutcomeUnknown()
}

/** A complete answer of a backend server. */
public data class StoredAnswer(val status: Int, val contentType: String, val body: String)
