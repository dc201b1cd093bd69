package org.berylpoint.policy.placement

import org.berylpoint.policy.Rendezvous
import kotlin.math.floor

/** A rate of requests to one server that all [instances] share, as [self], one of them, sees it. */
public data class SharedRate(
    /** Requests per second of all instances together; may have a fraction. */
    val perSecond: Double,
    /** Selects the instances that send; instances that use the same key select the same ones. */
    val key: String,
    val self: String,
    val instances: Set<String>,
)

/**
 * Keeps the requests that all instances together send to one server within a [SharedRate].
 *
 * Each instance only knows what it sends itself, and one request of each of many instances can be more than a slow
 * server takes. So the requests of one window are divided among a few instances, which rendezvous hashing selects: each
 * of them may send at least [minPerSender] in a window, the others nothing. A window lasts [minWindowMillis], or as
 * long as it takes for one request at a lower rate.
 */
public class SharedRateLimiter(private val minWindowMillis: Long, private val minPerSender: Int) {
    private val sentAtMillis = ArrayDeque<Long>()
    private var rate: SharedRate? = null
    private var permits = 0
    private var windowMillis = 0L

    /** Whether one more request may be sent now; if so, it counts as sent. */
    public fun tryAcquire(rate: SharedRate, nowMillis: Long): Boolean {
        if (waitMillis(rate, nowMillis) > 0) return false
        sentAtMillis.addLast(nowMillis)
        return true
    }

    /** Milliseconds until a request may be sent; 0 if it may be now. */
    public fun waitMillis(rate: SharedRate, nowMillis: Long): Long {
        divide(rate)
        while (sentAtMillis.isNotEmpty() && nowMillis - sentAtMillis.first() >= windowMillis) sentAtMillis.removeFirst()
        return when {
            permits == 0 -> windowMillis
            sentAtMillis.size < permits -> 0
            else -> sentAtMillis[sentAtMillis.size - permits] + windowMillis - nowMillis
        }
    }

    /** Number of requests that the instance may send in one window; 0 if it is not one of the senders. */
    public fun permits(rate: SharedRate): Int {
        divide(rate)
        return permits
    }

    private fun divide(rate: SharedRate) {
        if (rate == this.rate) return
        val perSecond = rate.perSecond.coerceAtLeast(MIN_PER_SECOND)
        val window = maxOf(minWindowMillis.toDouble(), MILLIS_PER_SECOND / perSecond)
        val total = floor(perSecond * window / MILLIS_PER_SECOND + ROUNDING_ERROR).toInt()
        val senders = (total / minPerSender).coerceIn(1, maxOf(1, rate.instances.size))
        val rank = Rendezvous.ranked(rate.key, rate.instances) { it }.indexOf(rate.self)
        permits = if (rank in 0 until senders) total / senders + (if (rank < total % senders) 1 else 0) else 0
        windowMillis = (window * ARRIVAL_MARGIN).toLong()
        this.rate = rate
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** A server that takes no requests still gets one at times: only a response shows that its limit has ended. */
        const val MIN_PER_SECOND = 0.05

        /** Windows are a little longer, because a request arrives later than it is sent. */
        const val ARRIVAL_MARGIN = 1.1
        const val ROUNDING_ERROR = 1e-9
    }
}
