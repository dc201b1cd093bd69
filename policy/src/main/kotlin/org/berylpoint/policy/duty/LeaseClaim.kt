package org.berylpoint.policy.duty

/** The lease as a read of the store found it. [Readable.revision] grows with each write of the store. */
public sealed interface StoredLease {
    public data object Absent : StoredLease

    public data class Readable(val record: LeaseRecord, val revision: Long) : StoredLease

    /** A row that can't be decoded: who holds the lease, until when, and its fencing token are not known. */
    public data class Unreadable(val revision: Long) : StoredLease
}

/**
 * Decides whether a lease may be claimed, and with which fencing token.
 *
 * A token is higher than the revision of the row that it replaces, and so higher than every token before, also when
 * that row can't be read. An unreadable row may belong to a live holder, so it is replaced only after it has stayed the
 * same for [durationMillis], in which a live holder would have renewed it.
 */
public class LeaseClaim(private val durationMillis: Long) {
    private var unreadableRevision = -1L
    private var unreadableSinceMillis = 0L

    /** The fencing token for a claim now, or null if the lease may still be held. */
    public fun token(lease: StoredLease, storeClockMillis: Long, steadyMillis: Long): Long? = when (lease) {
        is StoredLease.Absent -> 1
        is StoredLease.Readable ->
            lease.takeIf { it.record.expiresAtMillis < storeClockMillis }
                ?.let { maxOf(it.record.fencingToken, it.revision) + 1 }
        is StoredLease.Unreadable -> lease.takeIf { isAbandoned(it, steadyMillis) }?.let { it.revision + 1 }
    }

    private fun isAbandoned(lease: StoredLease.Unreadable, steadyMillis: Long): Boolean {
        if (lease.revision != unreadableRevision) {
            unreadableRevision = lease.revision
            unreadableSinceMillis = steadyMillis
        }
        return steadyMillis - unreadableSinceMillis >= durationMillis
    }
}
