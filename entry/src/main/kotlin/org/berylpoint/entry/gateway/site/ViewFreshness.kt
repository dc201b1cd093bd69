package org.berylpoint.entry.gateway.site

import org.berylpoint.entry.gateway.peers.PeerView

/**
 * Whether this instance may still act on its view of the site.
 *
 * A view that was known to be complete longer ago than a change may take to come into force may lack one. While nobody
 * knows better, as in an outage of the store, requests are served by it all the same. They are not where something
 * newer is there to be known: peers have it, or it may wait here to be read since the process gets no turns.
 */
public class ViewFreshness(
    private val watcher: StoreWatcher,
    private val peers: PeerView,
    private val lagMillis: () -> Long,
    changeMillis: Long,
) {
    private val maxAgeMillis = changeMillis - MARGIN_MILLIS

    /** Whether the view may lack a change that has to be in force. */
    public val isOld: Boolean get() = (watcher.viewAgeMillis ?: 0) > maxAgeMillis

    /** Whether the view is old although something newer is there to be known, so that no request is sent by it. */
    public val isOutOfDate: Boolean
        get() = isOld && (watcher.isBehindPeers || mayHaveUnreadNews())

    private fun mayHaveUnreadNews() = lagMillis() > MAX_LAG_MILLIS && !isStoreDown()

    /** Whether the store serves hardly any instance, so that what waits here to be read is no newer. */
    private fun isStoreDown(): Boolean {
        val reports = peers.liveReports
        return watcher.isCutOff && reports.count { it.isCutOffFromStore } * 2 >= reports.size
    }

    private companion object {
        /** Time that a request may take from the last check to the server. */
        const val MARGIN_MILLIS = 300L

        /** Lag beyond which reports of several peers may wait unread. */
        const val MAX_LAG_MILLIS = 250L
    }
}
