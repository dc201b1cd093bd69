package org.berylpoint.policy.quota

/** How a workspace's cap is enforced over all instances. */
public data class CapTolerance(
    /** Length of the window in which the cap is judged. */
    val windowMillis: Long,
    /** Share by which the cap may be exceeded in a window. */
    val overRatio: Double,
    /** Amount by which it may be exceeded besides. */
    val slack: Double,
)

/**
 * The instances that are heard, with the age of the newest report of each in milliseconds, and the part of the cap
 * that falls to them and this instance together.
 */
public data class CapShare(val heard: Map<String, Long>, val part: Double)

/**
 * The cap of one workspace, as one instance sees it: what all instances admitted in the last window.
 *
 * Reports of other instances arrive late, so what each is likely to have admitted since its newest one is added; an
 * instance that has just been cut off therefore goes on with its own part instead of taking up all that becomes free.
 * A part of the tolerance is used for admitting; the rest covers what the estimate misses. What instances admitted
 * that are no longer heard counts against their own part of the cap, and only beyond it against that of those that
 * are left.
 */
public class UsageCap(private val tolerance: CapTolerance) {
    private class Entry(val atMillis: Long) {
        var own = 0.0
        val remote = HashMap<String, Double>()

        fun total(heard: Set<String>): Double = own + remoteTotal(heard)

        fun remoteTotal(heard: Set<String>): Double = remote.entries.sumOf { (peer, cost) ->
            if (peer in heard) cost else 0.0
        }
    }

    private val entries = ArrayDeque<Entry>()

    /** Admits [cost] if the window has room. */
    public fun tryAdmit(cost: Double, ratePerSecond: Double, burst: Double, share: CapShare, nowMillis: Long): Boolean {
        if (ratePerSecond <= 0) return true
        expire(nowMillis)
        val used = entries.sumOf { it.total(share.heard.keys) } + unseen(share.heard, nowMillis)
        if (used > budget(limit(ratePerSecond, burst), share)) return false
        entry(nowMillis).own += cost
        return true
    }

    /**
     * Counts what an earlier process of this instance may have admitted in the window before it ended: an even share
     * among [instances] of the cap.
     */
    public fun assumePreviousProcessUsage(ratePerSecond: Double, burst: Double, instances: Int, nowMillis: Long) {
        if (ratePerSecond <= 0) return
        earlierEntry(nowMillis).own += limit(ratePerSecond, burst) * (1.0 / instances).coerceAtMost(MAX_ASSUMED_SHARE)
    }

    /** What all instances admitted in the window, those included that are not heard any more. */
    public fun windowTotal(nowMillis: Long): Double {
        expire(nowMillis)
        return entries.sumOf { it.own + it.remote.values.sum() }
    }

    /**
     * Takes over the [total] of the window from an instance that has run for longer. The processes that ended together
     * with the earlier one of this instance had admitted parts of it, which no report of theirs tells any more.
     */
    public fun adoptWindowTotal(total: Double, nowMillis: Long) {
        val unknown = total - windowTotal(nowMillis)
        if (unknown > 0) earlierEntry(nowMillis).own += unknown
    }

    /** Counts [cost] of a request that was admitted before and runs once more. */
    public fun recordRerun(cost: Double, nowMillis: Long) {
        expire(nowMillis)
        entry(nowMillis).own += cost
    }

    /** Gives [cost] back that was admitted and did not run. */
    public fun refund(cost: Double, nowMillis: Long) {
        entry(nowMillis).own -= cost
    }

    /** Takes what [peer] admitted. */
    public fun recordRemote(peer: String, cost: Double, nowMillis: Long) {
        expire(nowMillis)
        entry(nowMillis).remote.merge(peer, cost, Double::plus)
    }

    /**
     * Takes what [peer] admitted over the window before it was heard for the first time. It does not count as the
     * peer's present rate, which would take up the cap's room after each start of an instance.
     */
    public fun recordRemoteHistory(peer: String, cost: Double, nowMillis: Long) {
        expire(nowMillis)
        earlierEntry(nowMillis).remote[peer] = cost
    }

    /** Milliseconds until the window has room, if nothing else is admitted. */
    public fun waitMillis(ratePerSecond: Double, burst: Double, share: CapShare, nowMillis: Long): Long {
        var excess = entries.sumOf { it.total(share.heard.keys) } + unseen(share.heard, nowMillis) -
            budget(limit(ratePerSecond, burst), share)
        for (entry in entries) {
            excess -= entry.total(share.heard.keys)
            if (excess <= 0) return (entry.atMillis + span - nowMillis).coerceAtLeast(MIN_WAIT_MILLIS)
        }
        return MIN_WAIT_MILLIS
    }

    /** The instances' part of [limit], and no more than what those that are not heard any more left of it. */
    private fun budget(limit: Double, share: CapShare): Double {
        val unheard = entries.sumOf { entry -> entry.remote.values.sum() - entry.remoteTotal(share.heard.keys) }
        return minOf(limit * share.part, limit - unheard)
    }

    private val span get() = tolerance.windowMillis + WINDOW_MARGIN_MILLIS

    /**
     * The cap of a window and the part of the tolerance that is used for admitting. What reports miss grows with the
     * cap, so a margin in proportion to it stays free, and a large cap leaves nothing of a small tolerance.
     */
    private fun limit(ratePerSecond: Double, burst: Double): Double {
        val cap = ratePerSecond * tolerance.windowMillis / MILLIS + burst
        val allowed = cap * tolerance.overRatio + tolerance.slack
        val beyondMargin = allowed - cap * MISSED_SHARE
        return cap + minOf(beyondMargin, allowed * MAX_USED_TOLERANCE).coerceAtLeast(0.0)
    }

    /**
     * What the instances of [heard] have admitted since their newest reports: at the rate that these showed, or in
     * proportion to what this instance admitted meanwhile if that is more. Room that opens at once is taken up by all
     * instances before any report tells so, most of all when refused callers come back for it.
     */
    private fun unseen(heard: Map<String, Long>, nowMillis: Long): Double =
        maxOf(unseenByRate(heard, nowMillis), unseenByLikeness(heard, nowMillis))

    /** Counts this instance's admissions since the oldest of the newest reports, for each instance of [heard]. */
    private fun unseenByLikeness(heard: Map<String, Long>, nowMillis: Long): Double {
        val longest = heard.values.maxOrNull() ?: return 0.0
        val own = entries.sumOf { if (nowMillis - it.atMillis <= longest + REPORT_DELAY_MILLIS) it.own else 0.0 }
        return own.coerceAtLeast(0.0) * heard.size * LIKENESS
    }

    /** Extends the rate of each instance of [heard] over the age of its newest report. */
    private fun unseenByRate(heard: Map<String, Long>, nowMillis: Long): Double {
        val rates = HashMap<String, Double>()
        for (span in RATE_SPANS_MILLIS) {
            for ((peer, cost) in reportedWithin(span, heard, nowMillis)) rates.merge(peer, cost / span, ::maxOf)
        }
        return rates.entries.sumOf { (peer, perMilli) -> perMilli * (heard.getValue(peer) + REPORT_DELAY_MILLIS) }
    }

    /** What the newest reports of each instance of [heard] showed for the last [spanMillis] before them. */
    private fun reportedWithin(spanMillis: Long, heard: Map<String, Long>, nowMillis: Long): Map<String, Double> {
        val sums = HashMap<String, Double>()
        for (entry in entries) {
            val age = nowMillis - entry.atMillis
            for ((peer, cost) in entry.remote) {
                val silence = heard[peer] ?: continue
                if (age < silence + spanMillis) sums.merge(peer, cost, Double::plus)
            }
        }
        return sums
    }

    private fun entry(nowMillis: Long): Entry {
        val last = entries.lastOrNull()
        if (last != null && nowMillis - last.atMillis < STEP_MILLIS) return last
        return Entry(nowMillis).also { entries.addLast(it) }
    }

    /** A new entry for what was admitted at unknown times in the window. */
    private fun earlierEntry(nowMillis: Long): Entry {
        val atMillis = nowMillis - EARLIER_MILLIS
        val index = entries.indexOfFirst { it.atMillis > atMillis }.let { if (it < 0) entries.size else it }
        return Entry(atMillis).also { entries.add(index, it) }
    }

    private fun expire(nowMillis: Long) {
        while (entries.isNotEmpty() && nowMillis - entries.first().atMillis > span) entries.removeFirst()
    }

    private companion object {
        const val MILLIS = 1000.0
        const val STEP_MILLIS = 100L

        /** Requests reach servers, and reports arrive, a little after they are admitted. */
        const val WINDOW_MARGIN_MILLIS = 400L

        /** The shorter one shows the start of a flood, the longer one what comes in lumps. */
        val RATE_SPANS_MILLIS = listOf(300L, 1_000L)

        /** Age given to what was admitted at unknown times in the window; longer than the spans of rates. */
        const val EARLIER_MILLIS = 2_000L

        /** Time between the making of a report and its being taken in. */
        const val REPORT_DELAY_MILLIS = 100L

        /** Few instances share a cap among them, and one alone has to serve right after its start. */
        const val MAX_ASSUMED_SHARE = 0.25

        /** Share of a cap that instances may admit together without knowing of each other. */
        const val MISSED_SHARE = 0.2

        /** Share of the tolerance that is used at most; a kill of half of the instances may take up the rest. */
        const val MAX_USED_TOLERANCE = 0.4

        /** What another instance is taken to have admitted lately, as a share of what this one did; loads differ. */
        const val LIKENESS = 0.5

        const val MIN_WAIT_MILLIS = 50L
    }
}
