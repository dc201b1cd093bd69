package org.berylpoint.policy.placement

import org.berylpoint.policy.Rendezvous
import kotlin.math.floor

/**
 * Limits the rate of requests that all instances together send to one cold server to [requestsPerSecond].
 *
 * The rate is divided among a few instances, which rendezvous hashing selects, so that each of them has at least
 * [MIN_PER_SENDER] requests per second; the other instances send nothing to that server while it is cold.
 */
public class ColdServerRateLimiter(private val requestsPerSecond: Double) {
    private val sentAtMillis = ArrayDeque<Long>()

    /** Whether [self] may send one more request to [server] now; [instances] are the names of all instances. */
    public fun tryAcquire(self: String, server: String, instances: Collection<String>, nowMillis: Long): Boolean {
        while (sentAtMillis.isNotEmpty() && nowMillis - sentAtMillis.first() >= WINDOW_MILLIS) {
            sentAtMillis.removeFirst()
        }
        if (sentAtMillis.size >= permitsPerSecond(self, server, instances)) return false
        sentAtMillis.addLast(nowMillis)
        return true
    }

    /** Number of requests per second that [self] may send to [server]; 0 if it is not one of the senders. */
    public fun permitsPerSecond(self: String, server: String, instances: Collection<String>): Int {
        val total = floor(requestsPerSecond).toInt()
        val senders = (total / MIN_PER_SENDER).coerceIn(1, maxOf(1, instances.size))
        val rank = Rendezvous.ranked(server, instances) { it }.indexOf(self)
        if (rank !in 0 until senders) return 0
        return total / senders + if (rank < total % senders) 1 else 0
    }

    private companion object {
        /** Slightly more than a second, because a request arrives later than it is sent. */
        const val WINDOW_MILLIS = 1_100L
        const val MIN_PER_SENDER = 2
    }
}
