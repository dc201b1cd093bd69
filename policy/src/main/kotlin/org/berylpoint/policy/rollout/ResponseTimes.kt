package org.berylpoint.policy.rollout

/**
 * Recent times of one kind of response, over all versions of a service, by which slow ones are told.
 *
 * The usual time is that of all versions together: the same bound then holds for each of them, and what makes all of
 * them slow, such as an overload, moves the bound.
 */
public class ResponseTimes {
    private val recent = ArrayDeque<Double>()
    private var addedSinceMedian = 0
    private var median = 0.0

    /** Adds a response that took [millis]; returns whether it was slow, or null while too few are known. */
    public fun add(millis: Double): Boolean? {
        val isSlow = if (recent.size < MIN_SAMPLES) null else millis > usualMillis() * SLOW_FACTOR
        recent.addLast(millis)
        if (recent.size > MAX_SAMPLES) recent.removeFirst()
        addedSinceMedian++
        return isSlow
    }

    private fun usualMillis(): Double {
        if (median == 0.0 || addedSinceMedian >= MEDIAN_INTERVAL) {
            median = recent.sorted()[recent.size / 2]
            addedSinceMedian = 0
        }
        return maxOf(median, MIN_USUAL_MILLIS)
    }

    private companion object {
        const val MIN_SAMPLES = 10
        const val MAX_SAMPLES = 64

        /** The median is computed again after this number of responses. */
        const val MEDIAN_INTERVAL = 8
        const val SLOW_FACTOR = 2.0

        /** Shorter times vary by more than the factor for reasons that have nothing to do with the server. */
        const val MIN_USUAL_MILLIS = 10.0
    }
}
