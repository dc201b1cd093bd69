package org.berylpoint.policy.performance

/**
 * The time between the events of one stream. Two successive gaps are averaged: an event that is read late lengthens one
 * gap and shortens the next.
 */
public class StreamGaps {
    private var events = 0
    private var previousMillis = 0.0

    /** Whether any event was recorded. */
    public val hasEvents: Boolean get() = events > 0
    private var lastMillis = 0.0

    /** Records an event that arrived at [millis]; returns the mean of the last two gaps, or null for the first ones. */
    public fun add(millis: Double): Double? {
        events++
        val mean = (millis - previousMillis) / 2
        previousMillis = lastMillis
        lastMillis = millis
        return if (events > 2) mean else null
    }
}
