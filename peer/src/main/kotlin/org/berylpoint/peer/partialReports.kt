/**
 * Reports that leave out parts, which keeps the datagrams small that go to all instances several times a second.
 */
package org.berylpoint.peer

/** The report without what only new processes need to know of others. */
public fun NodeReport.withoutPartsForNewProcesses(): NodeReport =
    copy(windowTotals = emptyMap(), silentProcesses = emptyList())

/** The report without the usage of processes that have ended, which a new process needs from few others only. */
public fun NodeReport.withoutSilentProcesses(): NodeReport = copy(silentProcesses = emptyList())

/** The report with [count] of the ended processes at most: another part of them with each [round] of reports. */
public fun NodeReport.withSomeSilentProcesses(count: Int, round: Int): NodeReport {
    val parts = silentProcesses.chunked(count)
    return if (parts.isEmpty()) this else copy(silentProcesses = parts[round % parts.size])
}

/** The report without what may reach its receiver some seconds late. */
public fun NodeReport.withoutSlowParts(): NodeReport =
    withoutPartsForNewProcesses().copy(usage = emptyList(), crashTotals = emptyList(), isPartial = true)

/**
 * The report with the parts that it leaves out as [previous] had them, an earlier report of the same process.
 *
 * Outcomes of routes are merged in any case, since no report may have room for all of them; the sums only grow.
 */
public fun NodeReport.completedBy(previous: NodeReport?): NodeReport {
    if (previous == null) return this
    val routes = (routeOutcomes + previous.routeOutcomes).distinctBy { Triple(it.service, it.version, it.route) }
    val complete = copy(routeOutcomes = routes.take(MAX_ROUTE_OUTCOMES))
    if (!isPartial) return complete
    return complete.copy(
        usage = previous.usage,
        crashTotals = previous.crashTotals,
        crashes = previous.crashes + crashes,
        outcomes = outcomes.ifEmpty { previous.outcomes },
    )
}

/** Bounds what is kept of the routes that reports have named one after another. */
private const val MAX_ROUTE_OUTCOMES = 80

/** A report that only carries [rows] to an instance that lacks them. */
public fun NodeReport.withOnly(rows: RowsPart): NodeReport =
    NodeReport(name, domain, startedAtMillis, sequence, wallMillis, address = address, rows = rows)
