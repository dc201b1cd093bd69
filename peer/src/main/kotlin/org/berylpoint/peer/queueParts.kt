/**
 * Bounds on the demand that a report states.
 */
package org.berylpoint.peer

/** Workspaces that a report lists by name for each service. */
private const val MAX_NAMED = 8

/** Parts in one report, over all services; each takes about five bytes. */
private const val MAX_PARTS = 24

/**
 * The demand that a report has room for: of each service the [MAX_NAMED] largest parts with a workspace, the others
 * summed per rank. Beyond [MAX_PARTS] the smallest are summed too, and at last left out.
 */
public fun boundQueueParts(parts: List<QueuePart>): List<QueuePart> {
    val demanded = parts.filter { it.total > 0 }
    val named = demanded.filter { it.workspace != null }.groupBy { it.service }.values
        .flatMap { it.sortedWith(LARGEST_FIRST).take(MAX_NAMED) }
        .sortedWith(LARGEST_FIRST)
    val restCount = demanded.distinctBy { it.service to it.rank }.size
    val listed = named.take((MAX_PARTS - restCount).coerceAtLeast(0)).toSet()
    val rest = demanded.filterNot { it in listed }.groupBy { it.service to it.rank }.values
        .map { group -> group.map { it.copy(workspace = null) }.reduce(::sum) }
        .sortedWith(LARGEST_FIRST)
    return (listed + rest.take(MAX_PARTS - listed.size)).sortedWith(BY_NAME)
}

private val QueuePart.total: Double get() = running + waiting + refused

// Ties are broken by name, so that the same workspaces stay listed from one report to the next.
private val LARGEST_FIRST =
    compareByDescending<QueuePart> {
        it.total
    }.thenBy { it.service }.thenBy { it.rank }.thenBy { it.workspace.orEmpty() }

private val BY_NAME = compareBy<QueuePart>({ it.service }, { it.rank }, { it.workspace ?: "\uffff" })

private fun sum(a: QueuePart, b: QueuePart) =
    a.copy(running = a.running + b.running, waiting = a.waiting + b.waiting, refused = a.refused + b.refused)
