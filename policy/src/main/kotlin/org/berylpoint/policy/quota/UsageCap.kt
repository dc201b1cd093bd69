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

/** The instances that are heard, by name, and the part of the cap that falls to them and this instance together. */
public data class CapShare(val heard: Set<String>, val part: Double)

/**
 * The cap of one workspace, as one instance sees it: what all instances admitted in the last window.
 *
 * Reports of other instances arrive late, so what they are likely to have admitted since is added. A part of the
 * tolerance is used for admitting; the rest covers what the estimate misses. What instances admitted that are no
 * longer heard counts against their own part of the cap, and only beyond it against that of those that are left.
 */
public class UsageCap(private val tolerance: CapTolerance) {
    private class Entry(val atMillis: Long) {
        var own = 0.0
        val remote = HashMap<String, Double>()

        fun total(heard: Set<String>): Double = own + remoteTotal(heard)

        fun remoteTotal(heard: Set<String>): Double = remote.entries.sumOf { (peer, cost) ->
            if (peer in
                heard
            ) {
                cost
            } else {
                0.0
            }
        }
    }

    private val entries = ArrayDeque<Entry>()

    /** Admits [cost] if the window has room; [delayMillis] is the age of reports. */
    public fun tryTake(
        cost: Double,
        ratePerSecond: Double,
        burst: Double,
        share: CapShare,
        delayMillis: Long,
        nowMillis: Long,
    ): Boolean {
        if (ratePerSecond <= 0) return true
        expire(nowMillis)
        val used = entries.sumOf { it.total(share.heard) } + unseen(share.heard, nowMillis, delayMillis)
        if (used > budget(limit(ratePerSecond, burst), share)) return false
        entry(nowMillis).own += cost
        return true
    }

    /**
     * Counts what an earlier process of this instance may have admitted in the window before it ended: an even share
     * among [instances] of the cap.
     */
    public fun assumeEarlierProcess(ratePerSecond: Double, burst: Double, instances: Int, nowMillis: Long) {
        if (ratePerSecond <= 0) return
        entry(nowMillis).own += limit(ratePerSecond, burst) * (1.0 / instances).coerceAtMost(MAX_ASSUMED_SHARE)
    }

    /** Counts [cost] of a request that was admitted before and runs once more. */
    public fun takeAgain(cost: Double, nowMillis: Long) {
        expire(nowMillis)
        entry(nowMillis).own += cost
    }

    /** Gives [cost] back that was admitted and did not run. */
    public fun giveBack(cost: Double, nowMillis: Long) {
        entry(nowMillis).own -= cost
    }

    /** Takes what [peer] admitted. */
    public fun takeRemote(peer: String, cost: Double, nowMillis: Long) {
        expire(nowMillis)
        entry(nowMillis).remote.merge(peer, cost, Double::plus)
    }

    /** Milliseconds until the window has room, if nothing else is admitted. */
    public fun waitMillis(ratePerSecond: Double, burst: Double, share: CapShare, nowMillis: Long): Long {
        var excess = entries.sumOf { it.total(share.heard) } - budget(limit(ratePerSecond, burst), share)
        for (entry in entries) {
            excess -= entry.total(share.heard)
            if (excess <= 0) return (entry.atMillis + span - nowMillis).coerceAtLeast(MIN_WAIT_MILLIS)
        }
        return MIN_WAIT_MILLIS
    }

    /** The instances' part of [limit], and no more than what those that are not heard any more left of it. */
    private fun budget(limit: Double, share: CapShare): Double {
        val unheard = entries.sumOf { entry -> entry.remote.values.sum() - entry.remoteTotal(share.heard) }
        return minOf(limit * share.part, limit - unheard)
    }

    private val span get() = tolerance.windowMillis + WINDOW_MARGIN_MILLIS

    private fun limit(ratePerSecond: Double, burst: Double): Double =
        (ratePerSecond * tolerance.windowMillis / MILLIS + burst) * (1 + tolerance.over * USED_TOLERANCE) +
            tolerance.slack * USED_TOLERANCE

    private fun unseen(heard: Set<String>, nowMillis: Long, delayMillis: Long): Double {
        val recent = entries.asReversed().takeWhile { nowMillis - it.atMillis < MILLIS }
        return recent.sumOf { it.remoteTotal(heard) } * delayMillis / MILLIS
    }

    private fun entry(nowMillis: Long): Entry {
        val last = entries.lastOrNull()
        if (last != null && nowMillis - last.atMillis < STEP_MILLIS) return last
        return Entry(nowMillis).also { entries.addLast(it) }
    }

    private fun expire(nowMillis: Long) {
        while (entries.isNotEmpty() && nowMillis - entries.first().atMillis > span) entries.removeFirst()
    }

    private companion object {
        const val MILLIS = 1000.0
        const val STEP_MILLIS = 100L

        /** Requests reach servers, and reports arrive, a little after they are admitted. */
        const val WINDOW_MARGIN_MILLIS = 400L

        /** Few instances share a cap among them, and one alone has to serve right after its start. */
        const val MAX_ASSUMED_SHARE = 0.25
        const val USED_TOLERANCE = 0.15
        const val MIN_WAIT_MILLIS = 50L
    }
}
