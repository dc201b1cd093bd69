package org.berylpoint.entry.once

import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Rate limiter that starts the transactions of one instance at least [interval] apart.
 *
 * At 30 transactions per second, 9 instances stay below the several hundred writes per second that the table service
 * accepts.
 */
public class TransactionPacer(
    private val time: TimeSource.WithComparableMarks,
    private val interval: Duration = 1.seconds / TRANSACTIONS_PER_SECOND,
) {
    private val mutex = Mutex()
    private var nextStart: ComparableTimeMark? = null

    /** Waits until the next transaction may start. */
    public suspend fun awaitTurn(): Unit = mutex.withLock {
        nextStart?.let { delay(-it.elapsedNow()) }
        nextStart = time.markNow() + interval
    }

    public companion object {
        public const val TRANSACTIONS_PER_SECOND: Int = 30
    }
}
