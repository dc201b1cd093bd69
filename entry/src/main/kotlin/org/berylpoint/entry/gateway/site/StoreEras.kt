package org.berylpoint.entry.gateway.site

import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.peer.NodeReport
import org.berylpoint.platform.store.StoreRevision
import java.util.concurrent.CopyOnWriteArrayList

/**
 * What this process knows of the eras of the store: a new one begins when the store is restored from an older copy.
 *
 * Rows of the copy can't be told from rows written since by their revisions alone, because numbers are issued again.
 * The lowest revision that any instance has seen in the new era bounds the copy from above: what has a higher one was
 * written since the restore.
 */
public class StoreEras(private val clocks: Clocks, private val log: DecisionLog) {
    private val listeners = CopyOnWriteArrayList<() -> Unit>()

    /** The newest era known; 0 before the first answer and for a store that names none. */
    @Volatile
    public var current: Long = 0
        private set

    /** Lowest revision seen in [current]; null before the first answer. */
    @Volatile
    public var lowest: Long? = null
        private set

    /** Highest number of a revision seen in any era. */
    @Volatile
    public var highestNumber: Long = 0
        private set

    /** Steady-clock time at which an instance first saw [current] after another era; null if none has told of that. */
    @Volatile
    public var changedAtMillis: Long? = null
        private set

    private var newest = StoreRevision.NONE

    @Volatile
    private var isKnown = false

    /** [current] as reports name it; null before anything is known of it, which must not look like an older era. */
    public val reported: Long? get() = current.takeIf { isKnown }

    /** Time since the store was restored, as far as known; null if that is longer ago than anything depends on. */
    public val ageMillis: Long?
        get() = changedAtMillis?.let { clocks.steadyMillis - it }?.takeIf { it < REPORTED_AGE_MILLIS }

    /** Whether the writers of rows still have time to write again what a restore has lost. */
    public val isRecovering: Boolean get() = ageMillis?.let { it < SiteState.RECOVERY_MILLIS } ?: false

    /** Calls [listener] after each change to a newer era, on the thread that learned of it. */
    internal fun onChange(listener: () -> Unit) {
        listeners += listener
    }

    /** Records that an answer of the store named [revision] as the store's. */
    public fun record(revision: StoreRevision) {
        if (advance(revision, "store", ageMillis = null)) listeners.forEach { it() }
    }

    /** Records what the sender of [report] knows. */
    internal fun record(report: NodeReport) {
        val era = report.storeEra ?: return
        // A peer that has not seen a revision of the era gives no bound on the copy.
        val revision = StoreRevision(era, report.eraStart ?: Long.MAX_VALUE)
        if (advance(revision, report.name, report.eraAgeMillis)) listeners.forEach { it() }
    }

    /** Records that the rows that a peer has sent are of [era]. */
    internal fun recordRows(era: Long, peer: String) {
        if (advance(StoreRevision(era, Long.MAX_VALUE), peer, ageMillis = null)) listeners.forEach { it() }
    }

    /** Whether the row with [revision] may be one of the copy that the store was restored from. */
    internal fun isFromCopy(revision: StoreRevision): Boolean =
        revision.era > 0 && (revision.era < current || revision.number <= (lowest ?: Long.MAX_VALUE))

    /**
     * Compares two revisions of the same row: positive if [row] is newer than [known], 0 if both are the same write.
     *
     * Across eras a row of the copy is as old as its number says; one that was written since the restore is newer.
     */
    internal fun compare(row: StoreRevision, known: StoreRevision): Int = when {
        row.era == known.era -> row.number.compareTo(known.number)
        row.era > known.era -> if (isFromCopy(row)) row.number.compareTo(known.number) else 1
        else -> -compare(known, row)
    }

    /** Returns whether the era is newer than any known before, of which this process knew one. */
    @Synchronized
    private fun advance(revision: StoreRevision, source: String, ageMillis: Long?): Boolean {
        val number = revision.number.takeIf { it != Long.MAX_VALUE }
        val isFirst = !isKnown
        val isNewer = revision.era > current
        if (revision.era < current) return false
        if (isNewer) {
            if (!isFirst) {
                log.event(
                    "site",
                    "the store is in a new era",
                    "revision" to StoreRevision(revision.era, number ?: 0),
                    "before" to newest,
                    "source" to source,
                )
                changedAtMillis = clocks.steadyMillis
            }
            newest = StoreRevision(revision.era, 0)
            lowest = null
            current = revision.era
        }
        isKnown = true
        if (number != null) {
            lowest = minOf(lowest ?: number, number)
            highestNumber = maxOf(highestNumber, number)
            newest = maxOf(newest, revision)
        }
        // The first instance that saw the era is the closest to the restore.
        if (ageMillis != null) {
            val since = clocks.steadyMillis - ageMillis
            changedAtMillis = minOf(changedAtMillis ?: since, since)
        }
        return isNewer
    }

    private companion object {
        /** Longer than the lease of the duties, which nobody claims right after a restore. */
        const val REPORTED_AGE_MILLIS = 20_000L
    }
}
