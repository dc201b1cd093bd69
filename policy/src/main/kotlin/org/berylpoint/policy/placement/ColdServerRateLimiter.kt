package org.berylpoint.policy.placement

import org.berylpoint.policy.Rendezvous
import kotlin.math.floor

/**
 * Bounds what all instances together send to a cold server in a second.
 *
 * The bound is shared out among a few instances, found by rendezvous hashing, so that each of them has at least
 * [MIN_SHARE] requests a second; the others send nothing to that server while it is cold.
 */
public class ColdServerRateLimiter(private val perSecond: Double) {
    private val sent = ArrayDeque<Long>()

    /** Whether [self] may send one more request to [server] now; [instances] are the names of all of them. */
    public fun tryAcquire(self: String, server: String, instances: Collection<String>, nowMillis: Long): Boolean {
        while (sent.isNotEmpty() && nowMillis - sent.first() >= WINDOW_MILLIS) sent.removeFirst()
        if (sent.size >= permitsPerSecond(self, server, instances)) return false
        sent.addLast(nowMillis)
        return true
    }

    /** Requests a second that fall to [self]. */
    public fun permitsPerSecond(self: String, server: String, instances: Collection<String>): Int {
        val total = floor(perSecond).toInt()
        val holders = (total / MIN_SHARE).coerceIn(1, maxOf(1, instances.size))
        val rank = Rendezvous.ranked(server, instances) { it }.indexOf(self)
        if (rank !in 0 until holders) return 0
        return total / holders + if (rank < total % holders) 1 else 0
    }

    private companion object {
        /** A little over a second, since a request arrives later than it is sent. */
        const val WINDOW_MILLIS = 1_100L
        const val MIN_SHARE = 2
    }
}
