package org.berylpoint.entry.gateway.site

import kotlinx.coroutines.delay
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.peers.PeerView
import kotlin.time.Duration.Companion.milliseconds

/**
 * Keeps a process that has just started from serving with a configuration that its peers know to be older than theirs,
 * as a restored store may show it. A process whose store names no era, or is in its first one, does not wait.
 */
internal class StartupCheck(
    private val state: SiteState,
    private val peers: PeerView,
    private val clocks: Clocks,
    private val log: DecisionLog,
) {
    /** Returns when the process may serve. */
    suspend fun run() {
        while (state.view.config == null || !state.view.hasLoadedServers) delay(CHECK_INTERVAL)
        if (state.view.isConfirmed) return
        val since = clocks.steadyMillis
        while (!mayServe(clocks.steadyMillis - since)) delay(CHECK_INTERVAL)
        state.confirm()
        log.event(
            "site",
            "the configuration is confirmed by peers",
            "version" to state.view.config?.version,
            "waited" to clocks.steadyMillis - since,
            "heard" to peers.liveReports.size,
        )
    }

    private fun mayServe(waitedMillis: Long): Boolean {
        val version = state.view.config?.version ?: return false
        val reports = peers.liveReports
        if (reports.any { it.configVersion > version }) return false
        if (waitedMillis >= MAX_WAIT_MILLIS) return true
        // Peers may still send rows that the store lacks, or departures of servers that it shows again.
        val digest = state.retainedDigest()
        if (reports.any { it.retainedDigest != null && it.retainedDigest != digest }) return false
        // Other processes that have just started know no more than this one.
        val heard = reports.count { it.configVersion > 0 }
        return peers.isPeerListLoaded && heard * 2 >= peers.peerCount
    }

    private companion object {
        val CHECK_INTERVAL = 20.milliseconds

        /** Somewhat longer than the time between two reports at 70 instances. */
        const val MAX_WAIT_MILLIS = 700L
    }
}
