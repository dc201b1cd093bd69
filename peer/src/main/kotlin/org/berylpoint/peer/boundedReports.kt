/**
 * Reports of bounded size: of what receivers merge into what they know already, a part goes with each report and the
 * rest with others.
 */
package org.berylpoint.peer

/**
 * The report with as many suspects, limits and outcomes of routes as fit into [maxBytes], at least one of them, and
 * others in each [turn], which counts reports of this kind; new ones come first in partial reports. Of crashes, a
 * partial report has the latest and a whole one some totals.
 *
 * The receivers have to complete the report with [completedBy] as this release does.
 */
public fun NodeReport.boundedTo(maxBytes: Int, turn: Int): NodeReport {
    // Instances that know the same start at different parts, so that a receiver soon has all of them.
    val start = Math.floorMod(name.hashCode() + turn, Int.MAX_VALUE)
    val core = copy(
        crashes = if (isPartial) crashes.entries.toList().takeLast(LATEST_CRASHES).toMap() else crashes,
        crashTotals = crashTotals.rotated(start * CRASH_TOTALS).take(CRASH_TOTALS),
        outcomes = if (isPartial && !comparesVersions()) emptyList() else outcomes,
        suspects = emptyList(),
        limits = emptyList(),
        routeOutcomes = emptyList(),
    )
    return core.withParts(partsFitting(maxBytes - NodeReportCodec.encode(core.pack()).size, start))
}

private fun NodeReport.partsFitting(room: Int, start: Int): List<MergedPart> {
    val (new, others) = mergedParts().partition { it.isNew }
    // New processes get whole reports only, and know none of the older parts; limits may be renewed with each response.
    val ordered = if (isPartial) {
        new.rotated(start) + others.rotated(start)
    } else {
        others.rotated(start) +
            new.rotated(start)
    }
    var bytes = 0
    return ordered.takeWhile {
        val isFirst = bytes == 0
        bytes += it.bytes
        isFirst || bytes <= room
    }
}

/** Whether a service has servers of several versions, as during a rollout. */
private fun NodeReport.comparesVersions(): Boolean = outcomes.groupingBy { it.service }.eachCount().any { it.value > 1 }

private fun NodeReport.mergedParts(): List<MergedPart> =
    suspects.flatMap { suspect -> suspect.crashes.map { MergedPart.Crash(suspect.part, it) } } +
        limits.map { MergedPart.Limit(it) } +
        routeOutcomes.map { MergedPart.Outcome(it) }

private fun NodeReport.withParts(parts: List<MergedPart>): NodeReport = copy(
    suspects = parts.filterIsInstance<MergedPart.Crash>().groupBy({ it.suspect }, { it.crash })
        .map { (suspect, crashes) -> SuspectPart(suspect, crashes) },
    limits = parts.filterIsInstance<MergedPart.Limit>().map { it.limit },
    routeOutcomes = parts.filterIsInstance<MergedPart.Outcome>().map { it.outcome },
)

/** What receivers merge, in the smallest pieces. [bytes] is about what it takes in a report. */
private sealed interface MergedPart {
    val bytes: Int
    val isNew: Boolean

    class Crash(val suspect: String, val crash: CrashPart) : MergedPart {
        override val bytes: Int get() = suspect.length + crash.process.length + CRASH_BYTES
        override val isNew: Boolean get() = crash.isRefuted || crash.ageMillis < NEW_MILLIS
    }

    class Limit(val limit: LimitPart) : MergedPart {
        override val bytes: Int get() = limit.server.length + LIMIT_BYTES
        override val isNew: Boolean get() = limit.ageMillis < NEW_MILLIS
    }

    class Outcome(val outcome: RoutePart) : MergedPart {
        override val bytes: Int
            get() = outcome.service.length + outcome.version.length + outcome.route.length + OUTCOME_BYTES
        override val isNew: Boolean get() = outcome.bad > 0
    }
}

private fun <T> List<T>.rotated(start: Int): List<T> {
    if (isEmpty()) return this
    val first = start.toLong().mod(size)
    return drop(first) + take(first)
}

private fun <K, V> List<Map.Entry<K, V>>.toMap(): Map<K, V> = associate { it.key to it.value }

private const val LATEST_CRASHES = 3
private const val CRASH_TOTALS = 4

/** Age up to which something is new: a report or two may have been lost since. */
private const val NEW_MILLIS = 3_000L

/** Bytes of a part besides its names. */
private const val CRASH_BYTES = 22
private const val LIMIT_BYTES = 30
private const val OUTCOME_BYTES = 18
