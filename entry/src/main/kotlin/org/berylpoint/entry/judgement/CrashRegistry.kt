package org.berylpoint.entry.judgement

import org.berylpoint.model.Fingerprint
import org.berylpoint.peer.CrashMark

/** Crashes by fingerprint: sets of attempts, merged by union, so that a mark that arrives twice counts once. */
internal class CrashRegistry {
    private val attempts = LinkedHashMap<Fingerprint, MutableSet<String>>()
    private val quarantined = HashSet<Fingerprint>()
    private val suspects = HashSet<Fingerprint>()

    /** Notes a crash; true if it was not known. */
    fun add(mark: CrashMark): Boolean {
        while (attempts.size >= MAX_FINGERPRINTS) attempts.remove(attempts.keys.first())
        return attempts.getOrPut(mark.fingerprint) { mutableSetOf() }.add(mark.attempt)
    }

    /** Notes that a peer knows of a crash whose mark has not arrived yet. */
    fun markSuspected(fingerprint: Fingerprint) {
        if (suspects.size < MAX_FINGERPRINTS) suspects += fingerprint
    }

    /** Notes that the table service has a quarantine row. */
    fun markQuarantined(fingerprint: Fingerprint) {
        quarantined += fingerprint
    }

    fun hasKnownCrash(fingerprint: Fingerprint): Boolean = fingerprint in attempts || fingerprint in suspects

    fun isQuarantined(fingerprint: Fingerprint): Boolean =
        fingerprint in quarantined || (attempts[fingerprint]?.size ?: 0) >= MAX_CRASHES

    fun crashedAttempts(fingerprint: Fingerprint): Set<String> = attempts[fingerprint].orEmpty()

    /** The newest marks, for heartbeats. */
    fun recentMarks(): List<CrashMark> = attempts.entries.toList().takeLast(IN_HEARTBEAT)
        .flatMap { (fingerprint, its) -> its.take(MAX_CRASHES).map { CrashMark(fingerprint, it) } }

    companion object {
        /** Crashes after which a request is refused. */
        const val MAX_CRASHES = 2
        private const val MAX_FINGERPRINTS = 4_096

        // Peers get each mark at once; heartbeats only fill the gaps, and 16 fingerprints are about 2 KB.
        private const val IN_HEARTBEAT = 16
    }
}
