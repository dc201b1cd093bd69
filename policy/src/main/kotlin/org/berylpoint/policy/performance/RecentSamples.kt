package org.berylpoint.policy.performance

import kotlin.math.roundToInt

/**
 * The newest observations of one quantity by this instance. A quantile of those within [windowMillis] stands for all,
 * so that a few that include a wait at the server or a pause of this process do not move it.
 */
internal class RecentSamples(private val windowMillis: Long, private val capacity: Int) {
    private val values = DoubleArray(capacity)
    private val times = LongArray(capacity)
    private var count = 0L

    /** Whether a sample was added since [takeNews] was last called. */
    var hasNews = false
        private set

    fun add(value: Double, nowMillis: Long) {
        val index = (count++ % capacity).toInt()
        values[index] = value
        times[index] = nowMillis
        hasNews = true
    }

    fun takeNews() {
        hasNews = false
    }

    fun clear() {
        count = 0
    }

    /** The part [quantile] of the samples within the window is not above the value; null if there are none. */
    fun quantile(quantile: Double, nowMillis: Long): Double? {
        val recent = recent(nowMillis)
        // Rounded rather than interpolated: between two modes there is no observed value.
        return if (recent.isEmpty()) null else recent[((recent.size - 1) * quantile).roundToInt()]
    }

    /** Number of samples within the window. */
    fun count(nowMillis: Long): Int = (0 until size).count { nowMillis - times[it] <= windowMillis }

    private val size get() = minOf(count, capacity.toLong()).toInt()

    private fun recent(nowMillis: Long): DoubleArray {
        val recent = DoubleArray(size)
        var found = 0
        for (i in 0 until size) if (nowMillis - times[i] <= windowMillis) recent[found++] = values[i]
        return recent.copyOf(found).also { it.sort() }
    }
}
