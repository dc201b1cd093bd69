package org.berylpoint.testkit.standin

import kotlin.time.TimeSource

/** An append-only record of what servers and callers did; safe for use by several threads. */
public class Journal(private val clock: () -> Long) {
    private val lines = mutableListOf<JournalEvent>()

    /** Milliseconds on this journal's clock. */
    public fun now(): Long = clock()

    /** Appends [event]; its time is expected to come from [now]. */
    public fun add(event: JournalEvent) {
        synchronized(lines) { lines += event }
    }

    /** All events so far, in the order in which they were written. */
    public fun events(): List<JournalEvent> = synchronized(lines) { lines.toList() }

    public companion object {
        /** A journal whose times count from now on [source]; in tests that of the virtual time. */
        public fun on(source: TimeSource): Journal {
            val start = source.markNow()
            return Journal { start.elapsedNow().inWholeMilliseconds }
        }
    }
}
