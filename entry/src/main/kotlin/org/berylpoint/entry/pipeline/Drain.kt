package org.berylpoint.entry.pipeline

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Tracks the requests in flight and the deadline of a shutdown. */
internal class Drain(private val time: TimeSource.WithComparableMarks) {
    private val running = MutableStateFlow(0)
    private var end: ComparableTimeMark? = null

    val isDraining: Boolean get() = end != null

    /** Number of requests that run or wait for a place. */
    val inFlight: Int get() = running.value

    /** Whether a waiting request that needs at least [minRunTime] can no longer complete before the drain ends. */
    fun mustRefuseWaiting(minRunTime: Duration): Boolean = end?.let { -it.elapsedNow() <= minRunTime } ?: false

    /** Starts the drain, which ends after [notice]; of several calls the earliest end counts. */
    fun begin(notice: Duration) {
        val new = time.markNow() + notice
        end = end?.let { minOf(it, new) } ?: new
    }

    suspend fun <T> track(block: suspend () -> T): T {
        running.value++
        try {
            return block()
        } finally {
            running.value--
        }
    }

    suspend fun awaitIdle() {
        running.first { it == 0 }
    }
}
