package org.berylpoint.policy.duty

import org.berylpoint.model.Workspace

/**
 * Numbers of requests that began to run, by window of the wall clock and by workspace.
 *
 * Windows are [windowMillis] long and numbered from the epoch. Only the newest [maxWindows] are kept.
 */
public class UsageWindows(private val windowMillis: Long, private val maxWindows: Int = 4) {
    private val counts = sortedMapOf<Long, MutableMap<Workspace, Long>>()

    /** Counts a request of [workspace] that began to run at [wallMillis]. */
    public fun add(workspace: Workspace, wallMillis: Long) {
        val window = Math.floorDiv(wallMillis, windowMillis)
        counts.getOrPut(window) { mutableMapOf() }.merge(workspace, 1L, Long::plus)
        while (counts.size > maxWindows) counts.remove(counts.firstKey())
    }

    /** A copy of the counts, by window number and workspace. */
    public fun snapshot(): Map<Long, Map<Workspace, Long>> = counts.mapValues { it.value.toMap() }
}

/** Sums the counts of one window over several processes; each of [parts] holds the counts of one process. */
public fun sumUsage(parts: Iterable<Map<Workspace, Long>>): Map<Workspace, Long> {
    val sum = sortedMapOf<Workspace, Long>(compareBy { it.name })
    for (part in parts) part.forEach { (workspace, count) -> sum.merge(workspace, count, Long::plus) }
    return sum
}
