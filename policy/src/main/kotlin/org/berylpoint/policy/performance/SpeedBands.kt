package org.berylpoint.policy.performance

/** A server whose speed relative to its service left the band of usual speeds, or is within it again. */
public data class SpeedChange(val server: String, val speed: Double, val isWithin: Boolean)

/**
 * Detects servers that leave or re-enter a band of usual speeds, with hysteresis, and bounds the number of changes that
 * are returned, so that a disturbance of many servers does not flood the log.
 */
public class SpeedBands {
    private val outside = HashSet<String>()
    private var windowStartMillis = Long.MIN_VALUE / 2
    private var returned = 0

    /** The changes since the last call, given the relative [speeds] of the servers that are known now. */
    public fun update(speeds: Map<String, Double>, nowMillis: Long): List<SpeedChange> {
        if (nowMillis - windowStartMillis >= WINDOW_MILLIS) {
            windowStartMillis = nowMillis
            returned = 0
        }
        outside.retainAll(speeds.keys)
        val changes = speeds.mapNotNull { (server, speed) -> change(server, speed) }
        return changes.take(MAX_CHANGES - returned).also { returned += it.size }
    }

    private fun change(server: String, speed: Double): SpeedChange? = when {
        speed in INNER -> if (outside.remove(server)) SpeedChange(server, speed, true) else null
        speed !in OUTER -> if (outside.add(server)) SpeedChange(server, speed, false) else null
        else -> null
    }

    private companion object {
        val OUTER = 0.4..2.5
        val INNER = 0.5..2.0
        const val WINDOW_MILLIS = 10_000L

        /** Changes returned within [WINDOW_MILLIS]. */
        const val MAX_CHANGES = 20
    }
}
