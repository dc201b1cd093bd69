package org.berylpoint.policy.duty

import org.berylpoint.model.Workspace

/** Requests that began to run, by window of the wall clock and workspace. */
public class UsageWindows(private val windowMillis: Long, private val kept: Int = 4) {
    private val counts = sortedMapOf<Long, MutableMap<Workspace, Long>>()

    /** Counts one request of [workspace] that began to run at [wallMillis]. */
    public fun add(workspace: Workspace, wallMillis: Long) {
        val window = Math.floorDiv(wallMillis, windowMillis)
        counts.getOrPut(window) { mutableMapOf() }.merge(workspace, 1L, Long::plus)
        while (counts.size > kept) counts.remove(counts.firstKey())
    }

    /** The counts of the last windows. */
    public fun snapshot(): Map<Long, Map<Workspace, Long>> = counts.mapValues { it.value.toMap() }
}

/** Sums what several processes counted; each part holds the counts of one process. */
public fun sumUsage(parts: Iterable<Map<Workspace, Long>>): Map<Workspace, Long> {
    val sum = sortedMapOf<Workspace, Long>(compareBy { it.name })
    for (part in parts) part.forEach { (workspace, count) -> sum.merge(workspace, count, Long::plus) }
    return sum
}
