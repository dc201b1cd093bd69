package org.berylpoint.entry.once

import arrow.core.Either
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.Problem
import org.berylpoint.model.ServeRequest

/** Sees to it that a non-idempotent request runs at most once over all entry instances. */
public interface OnceRegistry {
    /** Records [request] as accepted, or tells what became of an earlier one with the same key. */
    public suspend fun begin(request: ServeRequest): OnceDecision

    /**
     * Whether an earlier request with the key of [request] may have run or may yet; true when that can't be found
     * out. For refusals that are made before [begin].
     */
    public suspend fun mayHaveRun(request: ServeRequest): Boolean
}

/** What to do with a non-idempotent request. */
public sealed interface OnceDecision {
    /** This instance holds the record and is to run the request. */
    public data class Run(val ticket: OnceTicket) : OnceDecision

    /** An earlier request with this key has the stored [answer]. */
    public data class Answered(val answer: StoredAnswer) : OnceDecision

    public data class Refused(val problem: Problem) : OnceDecision
}

/** The record of one accepted non-idempotent request, held by this instance. */
public interface OnceTicket {
    /**
     * Whether another instance may still run the request. Then `not-run` must not be answered, not even when no byte
     * was sent from here: the release of the key has no confirmation yet, or another instance has taken it over.
     */
    public val mayRunElsewhere: Boolean get() = false

    /**
     * Records the dispatch to [server]; the request may be sent only if this succeeds, and only once. While no byte of
     * it was sent, another server may be recorded by a further call.
     *
     * Fails with `OutcomeUnknown` when another instance has taken the request over; [OnceRegistry.begin] then waits
     * for its answer.
     */
    public suspend fun dispatch(server: BackendServerId): Either<Problem, Unit>

    /** Stores the answer for repeats, retrying in the background; returns when it is stored or after a bound. */
    public suspend fun finish(answer: StoredAnswer)

    /** No byte was sent: frees the key, so that a repeat may run. Safe after a failed or a successful [dispatch]. */
    public suspend fun abandon()

    /** The request was sent, but its outcome can't be known: repeats are told so. */
    public suspend fun markOutcomeUnknown()
}

/** A complete answer of a backend server. */
public data class StoredAnswer(val status: Int, val contentType: String, val body: String)
