package org.berylpoint.policy.quota

/** How a workspace's cap is enforced over all instances. */
public data class CapTolerance(
    /** Length of the window in which the cap is judged. */
    val windowMillis: Long,
    /** Share by which the cap may be exceeded in a window. */
    val over: Double,
    /** Amount by which it may be exceeded besides. */
    val slack: Double,
)

/**
 * The cap of one workspace, as one instance sees it: what all instances admitted in the last window.
 *
 * Reports of other instances arrive late, so what they are likely to have admitted since is added. A part of the
 * tolerance is used for admitting; the rest covers what the estimate misses.
 */
public class UsageCap(private val tolerance: CapTolerance) {
    private class Entry(val atMillis: Long, var own: Double, var remote: Double)

    private val entries = ArrayDeque<Entry>()
    private var sum = 0.0

    /**
     * Admits [cost] if the window has room. [share] is the part of the cap that this instance may count on, below 1
     * while instances that may be alive are not heard; [delayMillis] is the age of reports.
     */
    public fun tryTake(
        cost: Double,
        ratePerSecond: Double,
        burst: Double,
        share: Double,
        delayMillis: Long,
        nowMillis: Long,
    ): Boolean {
        if (ratePerSecond <= 0) return true
        expire(nowMillis)
        if (sum + unseen(nowMillis, delayMillis) > limit(ratePerSecond, burst) * share) return false
        entry(nowMillis).own += cost
        sum += cost
        return true
    }

    /** Gives [cost] back that was admitted and did not run. */
    public fun giveBack(cost: Double, nowMillis: Long) {
        entry(nowMillis).own -= cost
        sum -= cost
    }

    /** Takes what other instances admitted. */
    public fun takeRemote(cost: Double, nowMillis: Long) {
        expire(nowMillis)
        entry(nowMillis).remote += cost
        sum += cost
    }

    /** Milliseconds until the window has room, if nothing else is admitted. */
    public fun waitMillis(ratePerSecond: Double, burst: Double, share: Double, nowMillis: Long): Long {
        var excess = sum - limit(ratePerSecond, burst) * share
        for (entry in entries) {
            excess -= entry.own + entry.remote
            if (excess <= 0) return (entry.atMillis + span - nowMillis).coerceAtLeast(MIN_WAIT_MILLIS)
        }
        return MIN_WAIT_MILLIS
    }

    private val span get() = tolerance.windowMillis + WINDOW_MARGIN_MILLIS

    private fun limit(ratePerSecond: Double, burst: Double): Double =
        (ratePerSecond * tolerance.windowMillis / MILLIS + burst) * (1 + tolerance.over * USED_TOLERANCE) +
            tolerance.slack * USED_TOLERANCE

    private fun unseen(nowMillis: Long, delayMillis: Long): Double =
        entries.asReversed().takeWhile { nowMillis - it.atMillis < MILLIS }.sumOf { it.remote } * delayMillis / MILLIS

    private fun entry(nowMillis: Long): Entry {
        val last = entries.lastOrNull()
        if (last != null && nowMillis - last.atMillis < STEP_MILLIS) return last
        return Entry(nowMillis, 0.0, 0.0).also { entries.addLast(it) }
    }

    private fun expire(nowMillis: Long) {
        while (entries.isNotEmpty() && nowMillis - entries.first().atMillis > span) {
            val old = entries.removeFirst()
            sum -= old.own + old.remote
        }
    }

    private companion object {
        const val MILLIS = 1000.0
        const val STEP_MILLIS = 50L

        /** Requests reach servers, and reports arrive, a little after they are admitted. */
        const val WINDOW_MARGIN_MILLIS = 400L
        const val USED_TOLERANCE = 0.15
        const val MIN_WAIT_MILLIS = 50L
    }
}
