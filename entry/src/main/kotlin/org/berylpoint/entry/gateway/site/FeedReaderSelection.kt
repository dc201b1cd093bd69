package org.berylpoint.entry.gateway.site

import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.peer.RowsPart
import org.berylpoint.policy.Rendezvous
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Who follows the store's feeds, and who gets the rows from a peer of its failure domain. */
public class FeedReaderSelection(
    private val self: String,
    private val domain: String,
    private val peers: PeerView,
    private val send: suspend (RowsPart) -> Unit,
) {
    /** Time after which an instance that follows no feed asks the store in any case. */
    public val pollInterval: Duration get() = CHECK_INTERVAL

    /**
     * The wait to ask of a feed; null when another instance of the domain follows it. Two instances of the site ask
     * often, so that a feed that has gone silent is noticed soon.
     */
    public fun longPollWait(): Duration? {
        val live = peers.liveReports.filterNot { it.isLeaving }
        val inDomain = live.filter { it.domain == domain }.map { it.name } + self
        if (Rendezvous.first(FEED_KEY, inDomain) { it } != self) return null
        val rank = Rendezvous.ranked(FEED_KEY, live.map { it.name } + self) { it }.indexOf(self)
        return if (rank < FREQUENT_READERS) FREQUENT_WAIT else RARE_WAIT
    }

    /** Hands changed rows on to the instances of the domain. */
    public suspend fun forwardRows(rows: RowsPart): Unit = send(rows)

    private companion object {
        const val FEED_KEY = "feed"
        const val FREQUENT_READERS = 2
        val FREQUENT_WAIT = 1500.milliseconds
        val RARE_WAIT = 10.seconds
        val CHECK_INTERVAL = 10.seconds
    }
}
