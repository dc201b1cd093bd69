package org.berylpoint.entry.pipeline

import org.berylpoint.model.RequestClass
import org.berylpoint.policy.placement.RunTimes
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Counts the requests of each class that wait for a place, and predicts how long a new one would wait. */
internal class WaitQueues(private val time: TimeSource.WithComparableMarks) {
    private class Queue {
        var waiting = 0
        var lastPlaced: ComparableTimeMark? = null
        var interval: Duration = Duration.ZERO
        val runTimes = RunTimes()
    }

    private val queues = HashMap<RequestClass, Queue>()

    fun queueLength(requestClass: RequestClass): Int = queue(requestClass).waiting

    /** Time below which a request of this class hardly ever completes. */
    fun minRunTime(requestClass: RequestClass): Duration = queue(requestClass).runTimes.tenthPercentile

    /** Expected wait of a request that joins the queue now. */
    fun expectedWait(requestClass: RequestClass): Duration = queue(requestClass).run { interval * waiting }

    fun recordRunTime(requestClass: RequestClass, duration: Duration) = queue(requestClass).runTimes.add(duration)

    /** Runs [place] as one that waits; notes the time since the last one that was placed after waiting. */
    suspend fun <T : Any> trackWaiting(requestClass: RequestClass, isPlaced: (T) -> Boolean, place: suspend () -> T): T {
        val queue = queue(requestClass)
        if (queue.waiting++ == 0) queue.lastPlaced = time.markNow()
        try {
            val result = place()
            if (isPlaced(result)) queue.placed()
            return result
        } finally {
            queue.waiting--
        }
    }

    private fun Queue.placed() {
        val now = time.markNow()
        val passed = lastPlaced?.let { now - it } ?: Duration.ZERO
        // An average over about the last eight places follows a change of load within a second or so.
        interval += (passed - interval) / WEIGHT
        lastPlaced = now
    }

    private fun queue(requestClass: RequestClass) = queues.getOrPut(requestClass, ::Queue)

    private companion object {
        const val WEIGHT = 8
    }
}
