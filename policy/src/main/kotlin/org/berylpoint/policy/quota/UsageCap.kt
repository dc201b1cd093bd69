package org.berylpoint.policy.quota

/** How exactly a workspace's cap is enforced over all instances together. */
public data class CapTolerance(
    /** Length of the sliding window over which the cap is enforced. */
    val windowMillis: Long,
    /** Fraction of the cap by which usage in a window may exceed it. */
    val overRatio: Double,
    /** Usage by which a window may exceed the cap in addition to [overRatio], in the units of the cap. */
    val slack: Double,
)

/**
 * The other instances whose reports are up to date, with the age of the newest report of each in milliseconds, and the
 * fraction of the cap that those instances and this one may use together.
 */
public data class CapShare(val reportAgesMillis: Map<String, Long>, val fraction: Double)

/**
 * One instance's view of the cap of one workspace: the usage that all instances admitted in the last window.
 *
 * Reports of other instances arrive late, so an estimate of what each has admitted since its newest report is added.
 * This also keeps an instance that has just been partitioned from the others from using the capacity that it sees
 * becoming free: it continues with its own part of the cap. Only a part of the tolerance is used for admission; the
 * rest covers the error of the estimate. Usage reported by instances that no longer report counts against their own
 * part of the cap, and only the excess counts against the part of the instances that still report.
 */
public class UsageCap(private val tolerance: CapTolerance) {
    /** Usage admitted around one time, by this instance and by each other one. */
    private class Bucket(val atMillis: Long) {
        var own = 0.0
        val remote = HashMap<String, Double>()

        fun totalOf(peers: Set<String>): Double = own + remoteTotalOf(peers)

        fun remoteTotalOf(peers: Set<String>): Double = remote.entries.sumOf { (peer, cost) ->
            if (peer in peers) cost else 0.0
        }
    }

    private val buckets = ArrayDeque<Bucket>()

    /** Admits [cost] and returns true if the window has capacity; a [ratePerSecond] of 0 or less means no cap. */
    public fun tryAdmit(cost: Double, ratePerSecond: Double, burst: Double, share: CapShare, nowMillis: Long): Boolean {
        if (ratePerSecond <= 0) return true
        expire(nowMillis)
        val reportAges = share.reportAgesMillis
        val used = buckets.sumOf { it.totalOf(reportAges.keys) } + estimateUnreported(reportAges, nowMillis)
        if (used > budget(admissionLimit(ratePerSecond, burst), share)) return false
        currentBucket(nowMillis).own += cost
        return true
    }

    /**
     * Counts what the previous process of this instance may have admitted in the window before it ended: an equal part
     * of the cap, which [instances] instances share, up to [MAX_ASSUMED_FRACTION].
     */
    public fun assumePreviousProcessUsage(ratePerSecond: Double, burst: Double, instances: Int, nowMillis: Long) {
        if (ratePerSecond <= 0) return
        addUndatedBucket(nowMillis).own +=
            admissionLimit(ratePerSecond, burst) * (1.0 / instances).coerceAtMost(MAX_ASSUMED_FRACTION)
    }

    /** Usage that all instances admitted in the window, including instances that no longer report. */
    public fun windowTotal(nowMillis: Long): Double {
        expire(nowMillis)
        return buckets.sumOf { it.own + it.remote.values.sum() }
    }

    /**
     * Raises the usage of the window to the [total] that an instance with a longer-running process reports. The total
     * includes usage admitted by processes that ended together with the previous process of this instance, which no
     * longer report it themselves.
     */
    public fun adoptWindowTotal(total: Double, nowMillis: Long) {
        val missing = total - windowTotal(nowMillis)
        if (missing > 0) addUndatedBucket(nowMillis).own += missing
    }

    /** Counts [cost] of a further run of a request that was admitted before. */
    public fun recordRerun(cost: Double, nowMillis: Long) {
        expire(nowMillis)
        currentBucket(nowMillis).own += cost
    }

    /** Returns [cost] of a request that was admitted but did not run. */
    public fun refund(cost: Double, nowMillis: Long) {
        currentBucket(nowMillis).own -= cost
    }

    /** Counts [cost] that [peer] reports to have admitted since its previous report. */
    public fun recordRemote(peer: String, cost: Double, nowMillis: Long) {
        expire(nowMillis)
        currentBucket(nowMillis).remote.merge(peer, cost, Double::plus)
    }

    /**
     * Counts [cost] that [peer] admitted over the window before its first report. It does not count as the peer's
     * present rate, which would use up the capacity of the cap after every start of an instance.
     */
    public fun recordRemoteHistory(peer: String, cost: Double, nowMillis: Long) {
        expire(nowMillis)
        addUndatedBucket(nowMillis).remote[peer] = cost
    }

    /** Milliseconds until the window has capacity again if nothing else is admitted until then. */
    public fun waitMillis(ratePerSecond: Double, burst: Double, share: CapShare, nowMillis: Long): Long {
        val reportAges = share.reportAgesMillis
        var excess = buckets.sumOf { it.totalOf(reportAges.keys) } + estimateUnreported(reportAges, nowMillis) -
            budget(admissionLimit(ratePerSecond, burst), share)
        for (bucket in buckets) {
            excess -= bucket.totalOf(reportAges.keys)
            if (excess <= 0) return (bucket.atMillis + retentionMillis - nowMillis).coerceAtLeast(MIN_WAIT_MILLIS)
        }
        return MIN_WAIT_MILLIS
    }

    /** The reporting instances' fraction of [limit], at most what the instances that no longer report left of it. */
    private fun budget(limit: Double, share: CapShare): Double {
        val peers = share.reportAgesMillis.keys
        val usedBySilentPeers = buckets.sumOf { it.remote.values.sum() - it.remoteTotalOf(peers) }
        return minOf(limit * share.fraction, limit - usedBySilentPeers)
    }

    private val retentionMillis get() = tolerance.windowMillis + WINDOW_MARGIN_MILLIS

    /**
     * The cap of one window, plus the part of the tolerance that is used for admission. Unreported usage grows with the
     * cap, so a margin proportional to the cap is not used; for a large cap with a small tolerance nothing remains.
     */
    private fun admissionLimit(ratePerSecond: Double, burst: Double): Double {
        val cap = ratePerSecond * tolerance.windowMillis / MILLIS_PER_SECOND + burst
        val allowedExcess = cap * tolerance.overRatio + tolerance.slack
        val excessBeyondMargin = allowedExcess - cap * UNREPORTED_MARGIN
        return cap + minOf(excessBeyondMargin, allowedExcess * MAX_USED_TOLERANCE).coerceAtLeast(0.0)
    }

    /**
     * Estimates what the instances of [reportAges] have admitted since their newest reports: the larger of an
     * extrapolation of their reported rates and a fraction of what this instance has admitted since. The second one
     * covers capacity that becomes free at once: all instances use it up before any report shows that, most of all when
     * refused callers retry at that time.
     */
    private fun estimateUnreported(reportAges: Map<String, Long>, nowMillis: Long): Double =
        maxOf(unreportedByRate(reportAges, nowMillis), unreportedByOwnUsage(reportAges, nowMillis))

    /** Assumes that each instance of [reportAges] admitted a fraction of this one's usage since the oldest report. */
    private fun unreportedByOwnUsage(reportAges: Map<String, Long>, nowMillis: Long): Double {
        val oldestReport = reportAges.values.maxOrNull() ?: return 0.0
        val own = buckets.sumOf { if (nowMillis - it.atMillis <= oldestReport + REPORT_DELAY_MILLIS) it.own else 0.0 }
        return own.coerceAtLeast(0.0) * reportAges.size * PEER_TO_OWN_USAGE_RATIO
    }

    /** Extrapolates the highest rate of each instance of [reportAges] over the age of its newest report. */
    private fun unreportedByRate(reportAges: Map<String, Long>, nowMillis: Long): Double {
        val ratesPerMilli = HashMap<String, Double>()
        for (spanMillis in RATE_SPANS_MILLIS) {
            for ((peer, cost) in reportedWithin(spanMillis, reportAges, nowMillis)) {
                ratesPerMilli.merge(peer, cost / spanMillis, ::maxOf)
            }
        }
        return ratesPerMilli.entries.sumOf { (peer, rate) ->
            rate * (reportAges.getValue(peer) + REPORT_DELAY_MILLIS)
        }
    }

    /** Usage that each instance of [reportAges] reported for the [spanMillis] before its newest report. */
    private fun reportedWithin(spanMillis: Long, reportAges: Map<String, Long>, nowMillis: Long): Map<String, Double> {
        val sums = HashMap<String, Double>()
        for (bucket in buckets) {
            val bucketAge = nowMillis - bucket.atMillis
            for ((peer, cost) in bucket.remote) {
                val reportAge = reportAges[peer] ?: continue
                if (bucketAge < reportAge + spanMillis) sums.merge(peer, cost, Double::plus)
            }
        }
        return sums
    }

    private fun currentBucket(nowMillis: Long): Bucket {
        val last = buckets.lastOrNull()
        if (last != null && nowMillis - last.atMillis < BUCKET_MILLIS) return last
        return Bucket(nowMillis).also { buckets.addLast(it) }
    }

    /** Adds a bucket for usage that was admitted at unknown times in the window. */
    private fun addUndatedBucket(nowMillis: Long): Bucket {
        val atMillis = nowMillis - UNDATED_USAGE_AGE_MILLIS
        val index = buckets.indexOfFirst { it.atMillis > atMillis }.let { if (it < 0) buckets.size else it }
        return Bucket(atMillis).also { buckets.add(index, it) }
    }

    private fun expire(nowMillis: Long) {
        while (buckets.isNotEmpty() && nowMillis - buckets.first().atMillis > retentionMillis) buckets.removeFirst()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
        const val BUCKET_MILLIS = 100L

        /** Requests reach servers, and reports reach this instance, a little after the requests were admitted. */
        const val WINDOW_MARGIN_MILLIS = 400L

        /** The shorter span shows the start of a flood; the longer one covers usage that arrives in bursts. */
        val RATE_SPANS_MILLIS = listOf(300L, 1_000L)

        /** Age assigned to usage admitted at unknown times in the window; longer than [RATE_SPANS_MILLIS]. */
        const val UNDATED_USAGE_AGE_MILLIS = 2_000L

        /** Time from the creation of a report until it is counted. */
        const val REPORT_DELAY_MILLIS = 100L

        /** With few instances an equal part is large, and a single instance must serve right after its start. */
        const val MAX_ASSUMED_FRACTION = 0.25

        /** Fraction of a cap that all instances together may admit before any report of it arrives. */
        const val UNREPORTED_MARGIN = 0.2

        /** Fraction of the tolerance used at most; the rest may be needed when half of the instances are killed. */
        const val MAX_USED_TOLERANCE = 0.4

        /** Assumed recent usage of another instance as a fraction of this instance's own; loads differ. */
        const val PEER_TO_OWN_USAGE_RATIO = 0.5

        const val MIN_WAIT_MILLIS = 50L
    }
}
