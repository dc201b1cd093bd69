package org.berylpoint.entry.pipeline

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Whether the instance shuts down, and the requests that still run. */
internal class Drain(private val time: TimeSource.WithComparableMarks) {
    private val running = MutableStateFlow(0)
    private var end: ComparableTimeMark? = null

    val isDraining: Boolean get() = end != null

    /** Requests that run or wait. */
    val inFlight: Int get() = running.value

    /** Whether a request that still waits for a place can't end within the notice, as it needs [minRunTime]. */
    fun mustRefuseWaiting(minRunTime: Duration): Boolean = end?.let { -it.elapsedNow() <= minRunTime } ?: false

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
