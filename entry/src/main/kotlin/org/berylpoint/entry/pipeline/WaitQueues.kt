package org.berylpoint.entry.pipeline

import org.berylpoint.model.RequestClass
import org.berylpoint.policy.placement.RunTimes
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Counts the requests of each class that wait for a place, and estimates the wait of a new one. */
internal class WaitQueues(private val time: TimeSource.WithComparableMarks) {
    private class Queue {
        var waiting = 0
        var lastPlaced: ComparableTimeMark? = null
        var interval: Duration = Duration.ZERO
        val runTimes = RunTimes()
    }

    private val queues = HashMap<RequestClass, Queue>()

    /** Number of requests of the class that wait for a place. */
    fun queueLength(requestClass: RequestClass): Int = queue(requestClass).waiting

    /** Run time within which a request of this class rarely completes: the tenth percentile of recent run times. */
    fun minRunTime(requestClass: RequestClass): Duration = queue(requestClass).runTimes.tenthPercentile

    /** Expected wait of a request that joins the queue now. */
    fun expectedWait(requestClass: RequestClass): Duration = queue(requestClass).run { interval * waiting }

    /** Records the run time of a completed request. */
    fun recordRunTime(requestClass: RequestClass, duration: Duration) = queue(requestClass).runTimes.add(duration)

    /**
     * Runs [place] and counts it as a waiting request of the class. If [isPlaced] accepts the result, updates the mean
     * interval between placements, from which [expectedWait] is estimated.
     */
    suspend fun <T : Any> trackWaiting(
        requestClass: RequestClass,
        isPlaced: (T) -> Boolean,
        place: suspend () -> T,
    ): T {
        val queue = queue(requestClass)
        if (queue.waiting++ == 0) queue.lastPlaced = time.markNow()
        try {
            val result = place()
            if (isPlaced(result)) queue.recordPlacement()
            return result
        } finally {
            queue.waiting--
        }
    }

    private fun Queue.recordPlacement() {
        val now = time.markNow()
        val passed = lastPlaced?.let { now - it } ?: Duration.ZERO
        // A moving average over about the last eight placements follows a change of load within about a second.
        interval += (passed - interval) / AVERAGED_PLACEMENTS
        lastPlaced = now
    }

    private fun queue(requestClass: RequestClass) = queues.getOrPut(requestClass, ::Queue)

    private companion object {
        const val AVERAGED_PLACEMENTS = 8
    }
}
