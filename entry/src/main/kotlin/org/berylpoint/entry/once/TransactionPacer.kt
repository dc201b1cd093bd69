package org.berylpoint.entry.once

import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Spaces the transactions of one instance at least [interval] apart.
 *
 * 30 a second keep 9 writers below the several hundred writes a second that the table service takes.
 */
public class TransactionPacer(
    private val time: TimeSource.WithComparableMarks,
    private val interval: Duration = 1.seconds / TRANSACTIONS_PER_SECOND,
) {
    private val mutex = Mutex()
    private var next: ComparableTimeMark? = null

    /** Waits until the next transaction may start. */
    public suspend fun awaitTurn(): Unit = mutex.withLock {
        next?.let { delay(-it.elapsedNow()) }
        next = time.markNow() + interval
    }

    public companion object {
        public const val TRANSACTIONS_PER_SECOND: Int = 30
    }
}
