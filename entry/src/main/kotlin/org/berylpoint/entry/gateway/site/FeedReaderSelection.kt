package org.berylpoint.entry.gateway.site

import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.RowsPart
import org.berylpoint.policy.Rendezvous
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Selects the instances that read the store's feeds: one in each failure domain, by rendezvous hashing. The others
 * receive the changed rows from it.
 */
public class FeedReaderSelection(
    private val self: String,
    private val domain: String,
    private val peers: PeerView,
    /** Time within which a change has to be in force. */
    private val changeMillis: Long,
    /** Newest era of the store that this instance knows. */
    private val era: () -> Long = { 0 },
    private val sendRows: (RowsPart) -> Unit,
) {
    /** Interval at which an instance that reads no feed polls the store, whether or not peers have newer rows. */
    public val pollInterval: Duration get() = POLL_INTERVAL

    /**
     * Wait of this instance's long polls of the feeds; null when another instance of the failure domain reads them.
     * [FREQUENT_READERS] instances of the site use a short wait, so that a feed that has gone silent is noticed soon.
     */
    public fun longPollWait(): Duration? {
        val served = servedPeers()
        val inDomain = served.filter { it.domain == domain }.map { it.name } + self
        if (Rendezvous.first(FEED_KEY, inDomain) { it } != self) return null
        val rank = Rendezvous.ranked(FEED_KEY, served.map { it.name } + self) { it }.indexOf(self)
        return if (rank < FREQUENT_READERS) SHORT_WAIT else LONG_WAIT
    }

    /**
     * Age of the own view at which this instance polls the store although others read the feeds for it: they may be
     * heard and yet be late themselves. The instances come one after another, since the answer to one call is known to
     * all soon after.
     */
    public fun maxViewAgeMillis(): Long {
        val rank = Rendezvous.ranked(POLL_KEY, servedPeers().map { it.name } + self) { it }.indexOf(self)
        return changeMillis * MAX_AGE_PERCENT / 100 + minOf(rank * MILLIS_PER_RANK, MAX_RANK_MILLIS)
    }

    /** Whether this instance is the one that sends changed rows to [peer] when it lacks some. */
    public fun isHelperOf(peer: String): Boolean =
        Rendezvous.first(peer, servedPeers().map { it.name }.filter { it != peer } + self) { it } == self

    /** Time after which this instance reads its tables again in a new era of the store; spreads the reads of all. */
    public fun reloadDelay(): Duration {
        val names = peers.recentReports().map { it.name } + self
        val rank = Rendezvous.ranked(POLL_KEY, names) { it }.indexOf(self)
        return minOf(rank * RELOAD_MILLIS_PER_RANK, MAX_RANK_MILLIS).milliseconds
    }

    // An instance that is wrongly taken for gone costs a second call for the same rows, a silent one the rows. One that
    // is in an older era of the store, or has yet to read its tables in this one, has nothing that this instance lacks.
    private fun servedPeers() = peers.recentReports().filterNot { it.isLeaving || it.isCutOffFromStore || isBehind(it) }

    private fun isBehind(report: NodeReport) = report.era < era() || report.awaitedTables.isNotEmpty()

    /** Sends changed rows to the other instances of the failure domain. */
    public fun forwardRows(rows: RowsPart): Unit = sendRows(rows)

    private companion object {
        const val FEED_KEY = "feed"
        const val POLL_KEY = "poll"
        const val FREQUENT_READERS = 2

        /** Short against the time within which a change has to be in force, so that views are not taken for old. */
        val SHORT_WAIT = 1.seconds
        val LONG_WAIT = 10.seconds
        val POLL_INTERVAL = 10.seconds

        /** Part of the time within which a change has to be in force; the rest is for the poll and its spreading. */
        const val MAX_AGE_PERCENT = 70L
        const val MILLIS_PER_RANK = 50L
        const val MAX_RANK_MILLIS = 1_000L

        /** Two tables a millisecond, a third of the reads that the store serves. */
        const val RELOAD_MILLIS_PER_RANK = 1L
    }
}
