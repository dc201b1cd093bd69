package org.berylpoint.policy.quarantine

/** How often a request seems to have crashed servers, by what the sender knows, the last time [ageMillis] ago. */
public data class CrashTotal(val count: Int, val ageMillis: Long)

/**
 * Counts how often each request seems to have crashed the server that ran it, over all instances and their restarts.
 * Requests are named by a fingerprint. Times are on the steady clock, in milliseconds.
 *
 * An instance adds up what the live instances have counted themselves. What processes counted that have ended since is
 * kept in the totals, which all instances report and of which each keeps the highest. A total is never more than the
 * number of crashes, and may be less by those that were counted at the same moment.
 */
public class RequestCrashes {
    private class Total(var count: Int, var atMillis: Long)

    /** Crashes that this process has seen itself, oldest request first. */
    private val own = LinkedHashMap<String, Int>()

    /** The highest total known of each request. */
    private val totals = LinkedHashMap<String, Total>()

    /** Requests that servers completed here; such a request is not what a lost connection is due to. */
    private val completed = LinkedHashSet<String>()

    /** Crashes that this process has seen itself, for the other instances to add up. */
    public val ownCounts: Map<String, Int>
        get() = own.entries.toList().takeLast(MAX_REPORTED).associate { it.key to it.value }

    /** Records one crash; [othersCount] is the number that the other live instances have seen themselves. */
    public fun recordCrash(fingerprint: String, othersCount: Int, nowMillis: Long) {
        if (fingerprint in completed) return
        own.merge(fingerprint, 1, Int::plus)
        if (own.size > MAX_REQUESTS) own.remove(own.keys.first())
        val counted = (own[fingerprint] ?: 0) + othersCount
        raise(fingerprint, maxOf(totalOf(fingerprint, nowMillis) + 1, counted), nowMillis, nowMillis)
    }

    /** Records that a server completed the request. */
    public fun recordCompletion(fingerprint: String) {
        own.remove(fingerprint)
        totals.remove(fingerprint)
        completed.remove(fingerprint)
        completed.add(fingerprint)
        if (completed.size > MAX_REQUESTS) completed.remove(completed.first())
    }

    /** Number of crashes over all instances; 0 if a server completed the request here. */
    public fun count(fingerprint: String, othersCount: Int, nowMillis: Long): Int {
        if (fingerprint in completed) return 0
        return maxOf(totalOf(fingerprint, nowMillis), (own[fingerprint] ?: 0) + othersCount)
    }

    /** Merges the totals that another instance has reported. */
    public fun merge(report: Map<String, CrashTotal>, nowMillis: Long) {
        for ((fingerprint, total) in report) {
            if (fingerprint in completed || total.ageMillis > EXPIRY_MILLIS) continue
            raise(fingerprint, total.count, nowMillis - total.ageMillis, nowMillis)
        }
    }

    /** The totals for the other instances: the highest first, then the latest. */
    public fun toReport(nowMillis: Long): Map<String, CrashTotal> {
        totals.values.removeAll { nowMillis - it.atMillis > EXPIRY_MILLIS }
        return totals.entries
            .filter { it.value.count >= MIN_REPORTED_COUNT }
            .sortedWith(compareBy({ -it.value.count }, { -it.value.atMillis }))
            .take(MAX_REPORTED)
            .associate { (fingerprint, it) -> fingerprint to CrashTotal(it.count, nowMillis - it.atMillis) }
    }

    private fun totalOf(fingerprint: String, nowMillis: Long): Int {
        val total = totals[fingerprint] ?: return 0
        return if (nowMillis - total.atMillis > EXPIRY_MILLIS) 0 else total.count
    }

    private fun raise(fingerprint: String, count: Int, atMillis: Long, nowMillis: Long) {
        val known = totals.getOrPut(fingerprint) { Total(0, atMillis) }
        if (totalOf(fingerprint, nowMillis) >= count) return
        known.count = count
        known.atMillis = maxOf(known.atMillis, atMillis)
        if (totals.size > MAX_REQUESTS) totals.remove(totals.entries.minBy { it.value.count }.key)
    }

    private companion object {
        const val MAX_REQUESTS = 500
        const val MAX_REPORTED = 20

        /** Most requests on a crashed server have one crash, which the own counts of an instance show. */
        const val MIN_REPORTED_COUNT = 2

        /** Time for which a total counts after the last crash. */
        const val EXPIRY_MILLIS = 600_000L
    }
}
