package org.berylpoint.entry.judgement

import org.berylpoint.model.Fingerprint
import org.berylpoint.peer.CrashMark

/**
 * Crashes and quarantined requests by fingerprint.
 *
 * The crashes of a request are a set of attempt names, merged by union, so a mark that arrives twice counts once.
 */
internal class CrashRegistry {
    private val attempts = LinkedHashMap<Fingerprint, MutableSet<String>>()
    private val quarantined = HashSet<Fingerprint>()
    private val suspects = HashSet<Fingerprint>()

    /** Adds a crash and returns whether it is new; drops the oldest fingerprints at [MAX_FINGERPRINTS]. */
    fun add(mark: CrashMark): Boolean {
        while (attempts.size >= MAX_FINGERPRINTS) attempts.remove(attempts.keys.first())
        return attempts.getOrPut(mark.fingerprint) { mutableSetOf() }.add(mark.attempt)
    }

    /** Records that a peer reported a crash of the request whose [CrashMark] has not arrived yet. */
    fun markSuspected(fingerprint: Fingerprint) {
        if (suspects.size < MAX_FINGERPRINTS) suspects += fingerprint
    }

    /** Records that the table service has a quarantine row for the request. */
    fun markQuarantined(fingerprint: Fingerprint) {
        quarantined += fingerprint
    }

    fun hasKnownCrash(fingerprint: Fingerprint): Boolean = fingerprint in attempts || fingerprint in suspects

    fun isQuarantined(fingerprint: Fingerprint): Boolean =
        fingerprint in quarantined || (attempts[fingerprint]?.size ?: 0) >= MAX_CRASHES

    fun crashedAttempts(fingerprint: Fingerprint): Set<String> = attempts[fingerprint].orEmpty()

    /** Marks of the [HEARTBEAT_FINGERPRINTS] fingerprints added last, for heartbeats. */
    fun recentMarks(): List<CrashMark> = attempts.entries.toList().takeLast(HEARTBEAT_FINGERPRINTS)
        .flatMap { (fingerprint, names) -> names.take(MAX_CRASHES).map { CrashMark(fingerprint, it) } }

    companion object {
        /** Number of crashes after which a request is quarantined. */
        const val MAX_CRASHES = 2
        private const val MAX_FINGERPRINTS = 4_096

        // Peers are notified of each crash at once; heartbeats cover lost notices. 16 fingerprints take about 2 KB.
        private const val HEARTBEAT_FINGERPRINTS = 16
    }
}
