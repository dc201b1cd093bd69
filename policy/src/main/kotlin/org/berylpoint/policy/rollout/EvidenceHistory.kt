package org.berylpoint.policy.rollout

/** What was seen of a new version, and of the old ones in the same time. */
public data class ComparedVersions(val new: VersionEvidence, val old: VersionEvidence) {
    /** What was seen since [before]. */
    internal fun since(before: ComparedVersions) = ComparedVersions(new.since(before.new), old.since(before.old))
}

/**
 * Evidence on the versions of a rollout over time, which begins with [start]. A version that turns bad late hides
 * behind its good past; so the newest outcomes are compared, too. Not safe for use by several threads at once.
 */
public class EvidenceHistory(private val start: ComparedVersions) {
    private class Sample(val atMillis: Long, val totals: ComparedVersions)

    private val samples = ArrayDeque<Sample>()
    private var totals = start

    /** All evidence since the start. */
    public val whole: ComparedVersions get() = totals - start

    /** Records that [totals], which only grow, are known at [nowMillis]. */
    public fun record(nowMillis: Long, totals: ComparedVersions) {
        this.totals = totals
        val last = samples.lastOrNull()
        if (last == null || nowMillis - last.atMillis >= SAMPLE_INTERVAL_MILLIS) samples += Sample(nowMillis, totals)
        while (samples.size > 1 && nowMillis - samples[1].atMillis >= WINDOWS_MILLIS.last()) samples.removeFirst()
    }

    /** Evidence of the newest times, of several lengths in ascending order. */
    public fun recent(nowMillis: Long): List<ComparedVersions> = WINDOWS_MILLIS.map { millis ->
        val before = samples.lastOrNull { nowMillis - it.atMillis >= millis }?.totals ?: start
        totals.since(before)
    }

    private operator fun ComparedVersions.minus(before: ComparedVersions) =
        ComparedVersions(new - before.new, old - before.old)

    private companion object {
        const val SAMPLE_INTERVAL_MILLIS = 250L

        /** In the first, a fault shows soon; in the last, also one of few requests. */
        val WINDOWS_MILLIS = listOf(2_500L, 10_000L)
    }
}
