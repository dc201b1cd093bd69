package org.berylpoint.policy.migration

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Decides whether and how a stream moves away from a server that leaves. */
public object StreamMigration {
    /** How a stream goes on at another server. */
    public enum class Method {
        /** The KV cache is exported and imported, and the stream resumed: nothing is computed again. */
        KV_TRANSFER,

        /** The text generated so far is sent as the start of the answer: prompt and text are computed again. */
        RESUME,
    }

    /**
     * Time left for a stream whose server states no time, as for a retired entry: long enough for most answers to end
     * where they are, short enough that the server is free soon.
     */
    public val DEFAULT_NOTICE: Duration = 30.seconds

    /** Whether a stream that needs about [streamLeft] ends safely within [noticeLeft]. */
    public fun canFinishInPlace(streamLeft: Duration, noticeLeft: Duration): Boolean =
        streamLeft * UNCERTAINTY + MOVE_TIME < noticeLeft

    /** The cheaper method for a stream of which a resume computes [recomputedTokens] again. */
    public fun chooseMethod(isKvOffered: Boolean, recomputedTokens: Int, noticeLeft: Duration): Method =
        if (isKvOffered && recomputedTokens >= MIN_KV_TOKENS && noticeLeft > KV_TIME) {
            Method.KV_TRANSFER
        } else {
            Method.RESUME
        }

    /** The estimate of a stream's remaining time is off by this factor in most cases. */
    private const val UNCERTAINTY = 1.5

    /** Time for a move: a place, an export, an import and the first token at the other server. */
    private val MOVE_TIME = 1.seconds

    /** An export and an import take this long at most; with less notice they might end with the server. */
    private val KV_TIME = 500.milliseconds

    /** Below this the prefill takes about as long as the two calls that a transfer needs. */
    private const val MIN_KV_TOKENS = 32
}
