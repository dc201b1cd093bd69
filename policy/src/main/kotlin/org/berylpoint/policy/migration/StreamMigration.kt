package org.berylpoint.policy.migration

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Decides whether and how a stream is migrated from a server that is about to stop. */
public object StreamMigration {
    /** How a stream is continued on another server. */
    public enum class Method {
        /** The KV cache is exported and imported, then the stream is resumed: nothing is computed again. */
        KV_TRANSFER,

        /** The text generated so far is sent as the start of the answer: prefill of prompt and text is repeated. */
        RESUME,
    }

    /**
     * Time left for a stream whose server states no end, for example after its entry was retired: long enough for most
     * answers to finish in place, short enough that the server becomes free soon.
     */
    public val DEFAULT_NOTICE: Duration = 30.seconds

    /** Whether a stream that needs about [streamLeft] safely finishes within [noticeLeft]. */
    public fun canFinishInPlace(streamLeft: Duration, noticeLeft: Duration): Boolean =
        streamLeft * ESTIMATE_ERROR_FACTOR + MIGRATION_TIME < noticeLeft

    /** The cheaper method for a stream for which [Method.RESUME] would compute [recomputedTokens] tokens again. */
    public fun chooseMethod(isKvOffered: Boolean, recomputedTokens: Int, noticeLeft: Duration): Method =
        if (isKvOffered && recomputedTokens >= MIN_KV_TOKENS && noticeLeft > MAX_KV_TRANSFER_TIME) {
            Method.KV_TRANSFER
        } else {
            Method.RESUME
        }

    /** The estimate of a stream's remaining time is within this factor in most cases. */
    private const val ESTIMATE_ERROR_FACTOR = 1.5

    /** Time for a migration: placement, export, import, and the first token from the other server. */
    private val MIGRATION_TIME = 1.seconds

    /** Longest time for an export and an import; with less notice the server might stop before they complete. */
    private val MAX_KV_TRANSFER_TIME = 500.milliseconds

    /** For fewer tokens, prefill takes about as long as the two calls of a transfer. */
    private const val MIN_KV_TOKENS = 32
}
