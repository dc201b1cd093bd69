package org.berylpoint.entry.gateway.duty

import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.entry.gateway.site.StoreEras
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.SettledPart
import org.berylpoint.policy.Rendezvous

/**
 * The counts that were settled for usage windows, by this instance or by others as their reports tell, so that no other
 * counts are reported for a window whose row a restore of the store has lost.
 */
public class SettledUsage(private val self: String, private val eras: StoreEras, private val peers: PeerView) {
    /** Counts of one window; [era] is the one in which this instance knows them to be in the store, or null. */
    internal class Settled(val counts: Map<String, Long>, val atMillis: Long) {
        var era: Long? = null
        var isReported = false
    }

    private val windows = sortedMapOf<Long, Settled>()

    @Synchronized
    internal operator fun get(window: Long): Settled? = windows[window]

    /** Records that the store has [counts] for [window] in [era]. */
    @Synchronized
    internal fun record(window: Long, counts: Map<String, Long>, era: Long, nowMillis: Long): Settled {
        val settled = windows[window]?.takeIf { it.counts == counts } ?: Settled(counts, nowMillis)
        settled.era = era
        windows[window] = settled
        while (windows.size > MAX_WINDOWS) windows.remove(windows.firstKey())
        return settled
    }

    /** Records what the sender of [report] knows. Counts that were reported replace others. */
    @Synchronized
    public fun merge(report: NodeReport) {
        for (part in report.settledUsage) {
            val known = windows[part.window]
            val isNew = known == null || part.isReported && !known.isReported && known.counts != part.counts
            if (isNew) windows[part.window] = Settled(part.counts, atMillis = 0)
            if (part.isReported && windows[part.window]?.counts == part.counts) windows[part.window]?.isReported = true
        }
        while (windows.size > MAX_WINDOWS) windows.remove(windows.firstKey())
    }

    /** Windows whose counts are not known to be in the store in [era]. */
    @Synchronized
    internal fun missingIn(era: Long): Map<Long, Settled> = windows.filterValues { it.era != era }

    /**
     * A window for this instance's report with number [sequence]: the holder of the duties tells of them, and after a
     * restore some of the others do. Every other report carries one, first those not reported yet: four windows in
     * each took reports to 223 KB a second at 66 instances, of 146 allowed. A store without eras is not restored.
     */
    public fun partsToTell(isHolder: Boolean, sequence: Long): List<SettledPart> {
        if (eras.current == 0L || sequence % REPORTS_PER_WINDOW != 0L) return emptyList()
        if (!isHolder && !isTeller()) return emptyList()
        return synchronized(this) {
            // Nothing is reported for a window without requests.
            val newest = windows.entries.filter { it.value.counts.isNotEmpty() }.takeLast(MAX_REPORTED)
            if (newest.isEmpty()) return emptyList()
            val inTurn = newest[(sequence / REPORTS_PER_WINDOW % newest.size).toInt()]
            val fresh = newest.filter {
                it.value.atMillis > 0 && !it.value.isReported
            }.maxByOrNull { it.value.atMillis }
            val (window, settled) = fresh ?: inTurn
            listOf(SettledPart(window, settled.counts, settled.isReported))
        }
    }

    private fun isTeller(): Boolean {
        if (eras.ageMillis == null) return false
        return self in Rendezvous.ranked(KEY, peers.liveReports.map { it.name } + self) { it }.take(TELLERS)
    }

    private companion object {
        const val KEY = "settled"

        /** Instances that tell of settled counts after a restore; more than one, since reports may be lost. */
        const val TELLERS = 3
        const val MAX_WINDOWS = 20

        const val REPORTS_PER_WINDOW = 2L

        /** Windows that are told of in turn; the time for reporting a window ends before that many more have ended. */
        const val MAX_REPORTED = 4
    }
}
