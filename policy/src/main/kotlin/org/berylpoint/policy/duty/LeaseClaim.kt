package org.berylpoint.policy.duty

/** The lease as a read of the store found it. [Readable.revision] grows with each write of the store. */
public sealed interface StoredLease {
    public data object Absent : StoredLease

    /**
     * A row that names its holder. [isLeft] if its holder is known to have given it up, whatever time of expiry it
     * names: it is from a copy that the store was restored from, and nobody has renewed it since.
     */
    public data class Readable(val record: LeaseRecord, val revision: Long, val isLeft: Boolean = false) : StoredLease

    /** A row that can't be decoded: who holds the lease, until when, and its fencing token are not known. */
    public data class Unreadable(val revision: Long) : StoredLease
}

/**
 * Decides whether a lease may be claimed, and with which fencing token.
 *
 * A token is higher than the revision of the row that it replaces, and so higher than every token before, also when
 * that row can't be read. A restored store issues revisions again, so a token is also higher than the highest that is
 * known of. An unreadable row may belong to a live holder, so it is replaced only after it has stayed the same for
 * [durationMillis], in which a live holder would have renewed it; so is one that expires later than any lease can.
 */
public class LeaseClaim(private val durationMillis: Long) {
    /** The row that can't be judged by its time of expiry, and since when it has stayed the same. */
    private var unchangedRevision = -1L
    private var unchangedSinceMillis = 0L

    /** The fencing token for a claim now, above [highestToken], or null if the lease may still be held. */
    public fun token(lease: StoredLease, storeClockMillis: Long, steadyMillis: Long, highestToken: Long = 0): Long? {
        val isFree = when (lease) {
            is StoredLease.Absent -> true
            is StoredLease.Readable ->
                lease.isLeft ||
                    lease.record.expiresAtMillis < storeClockMillis ||
                    lease.record.expiresAtMillis > storeClockMillis + MAX_DURATIONS * durationMillis &&
                    isAbandoned(lease.revision, steadyMillis)
            is StoredLease.Unreadable -> isAbandoned(lease.revision, steadyMillis)
        }
        return if (isFree) tokenAbove(lease, highestToken) else null
    }

    /** A fencing token above [highestToken] and all that [lease] shows to have been given. */
    public fun tokenAbove(lease: StoredLease, highestToken: Long): Long = 1 + when (lease) {
        is StoredLease.Absent -> highestToken
        is StoredLease.Readable -> maxOf(lease.record.fencingToken, lease.revision, highestToken)
        is StoredLease.Unreadable -> maxOf(lease.revision, highestToken)
    }

    private fun isAbandoned(revision: Long, steadyMillis: Long): Boolean {
        if (revision != unchangedRevision) {
            unchangedRevision = revision
            unchangedSinceMillis = steadyMillis
        }
        return steadyMillis - unchangedSinceMillis >= durationMillis
    }

    private companion object {
        /** Longest time to expiry that a live holder can have written, with room for a change of the duration. */
        const val MAX_DURATIONS = 2
    }
}
