package org.berylpoint.policy.rollout

/** Requests a second, from a count that only grows, over the newest seconds. Not safe for several threads at once. */
public class RequestRate {
    private class Sample(val atMillis: Long, val count: Long)

    private val samples = ArrayDeque<Sample>()

    /** Records that [count] requests had come by [nowMillis]. */
    public fun record(nowMillis: Long, count: Long) {
        samples += Sample(nowMillis, count)
        while (samples.size > 2 && nowMillis - samples.first().atMillis > WINDOW_MILLIS) samples.removeFirst()
    }

    /** The rate over the newest seconds; 0 before it is known. */
    public val perSecond: Double
        get() {
            val first = samples.firstOrNull() ?: return 0.0
            val last = samples.last()
            val millis = last.atMillis - first.atMillis
            return if (millis == 0L) 0.0 else (last.count - first.count) * MILLIS_PER_SECOND / millis
        }

    private companion object {
        const val WINDOW_MILLIS = 3_000L
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
