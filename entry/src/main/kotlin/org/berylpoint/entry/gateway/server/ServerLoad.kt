package org.berylpoint.entry.gateway.server

import org.berylpoint.policy.performance.ModelledServer
import org.berylpoint.policy.placement.ServerHealth
import org.berylpoint.policy.placement.SharedRateLimiter

/** Load that this instance puts on a server. [coldLimiter] bounds it while the server is cold. */
internal class ServerLoad {
    val coldLimiter = SharedRateLimiter(COLD_WINDOW_MILLIS, COLD_MIN_PER_SENDER)
    var active = 0
    var pendingTokens = 0L
    val health = ServerHealth()
    var modelled: ModelledServer? = null

    /** Requests and prompt tokens of all instances at the server, as known at the last placement of any request. */
    @Volatile
    var knownActive = 0
    var knownPendingTokens = 0L

    private companion object {
        /** The span in which the rate of a cold server is bounded. */
        const val COLD_WINDOW_MILLIS = 1_000L
        const val COLD_MIN_PER_SENDER = 2
    }
}
