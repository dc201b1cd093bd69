package org.berylpoint.entry.gateway

import kotlin.time.TimeSource

/**
 * The monotonic clock and the wall clock of a process, in milliseconds.
 *
 * [steadyMillis] counts from the start of the process and never jumps, but stands still while the machine is suspended;
 * [wallMillis] is the machine's time of day, which may jump.
 */
public class Clocks(timeSource: TimeSource.WithComparableMarks, private val wallClock: () -> Long) {
    private val start = timeSource.markNow()

    public val steadyMillis: Long get() = start.elapsedNow().inWholeMilliseconds

    public val wallMillis: Long get() = wallClock()
}
