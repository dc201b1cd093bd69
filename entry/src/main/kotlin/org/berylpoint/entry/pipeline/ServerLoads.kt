package org.berylpoint.entry.pipeline

import org.berylpoint.model.BackendServerId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** The load of servers as their owners last told it, and the servers that could not be reached lately. */
internal class ServerLoads(private val time: TimeSource.WithComparableMarks) {
    private class Known(val load: Double, val at: ComparableTimeMark)

    private class Avoided(val until: ComparableTimeMark, val pause: Duration)

    private val known = HashMap<BackendServerId, Known>()
    private val avoided = HashMap<BackendServerId, Avoided>()

    /** Notes what an owner told with a grant or a denial. */
    fun recordLoad(server: BackendServerId, inFlight: Int, limit: Int) {
        val load = if (limit > 0) inFlight.toDouble() / limit else FULL
        known[server] = Known(load, time.markNow())
    }

    /** Load from 0 to 1 and above; a server that nobody told about lately counts as half loaded. */
    fun load(server: BackendServerId): Double = known[server]?.takeIf { it.at.elapsedNow() < FRESH }?.load ?: HALF

    /** Keeps new attempts away from [server] for a pause that doubles with each failure in a row. */
    fun startBackoff(server: BackendServerId) {
        val pause = avoided[server]?.let { (it.pause * 2).coerceAtMost(LONGEST_PAUSE) } ?: FIRST_PAUSE
        avoided[server] = Avoided(time.markNow() + pause, pause)
    }

    /** Notes that [server] answered. */
    fun clearBackoff(server: BackendServerId) {
        avoided.remove(server)
    }

    fun isInBackoff(server: BackendServerId): Boolean = avoided[server]?.until?.hasNotPassedNow() ?: false

    private companion object {
        const val FULL = 1.0
        const val HALF = 0.5
        val FRESH = 2.seconds
        val FIRST_PAUSE = 1.seconds
        val LONGEST_PAUSE = 8.seconds
    }
}
