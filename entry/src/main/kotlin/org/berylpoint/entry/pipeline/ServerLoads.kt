package org.berylpoint.entry.pipeline

import org.berylpoint.model.BackendServerId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Tracks the load of servers as last reported by their owners, and the back-off of servers that failed recently. */
internal class ServerLoads(private val time: TimeSource.WithComparableMarks) {
    private class LoadReport(val load: Double, val at: ComparableTimeMark)

    private class Backoff(val until: ComparableTimeMark, val duration: Duration)

    private val reports = HashMap<BackendServerId, LoadReport>()
    private val backoffs = HashMap<BackendServerId, Backoff>()

    /** Records the load that the owner of [server] reported with a grant or a denial. */
    fun recordLoad(server: BackendServerId, inFlight: Int, limit: Int) {
        val load = if (limit > 0) inFlight.toDouble() / limit else FULL
        reports[server] = LoadReport(load, time.markNow())
    }

    /** Load of [server]; 1 is full and higher values are over the limit. Without a recent report it counts as half. */
    fun load(server: BackendServerId): Double =
        reports[server]?.takeIf { it.at.elapsedNow() < MAX_REPORT_AGE }?.load ?: HALF

    /** Excludes [server] from new attempts for a time that doubles with each consecutive failure. */
    fun startBackoff(server: BackendServerId) {
        val duration = backoffs[server]?.let { (it.duration * 2).coerceAtMost(MAX_BACKOFF) } ?: INITIAL_BACKOFF
        backoffs[server] = Backoff(time.markNow() + duration, duration)
    }

    /** Ends the back-off of [server] after it has answered. */
    fun clearBackoff(server: BackendServerId) {
        backoffs.remove(server)
    }

    fun isInBackoff(server: BackendServerId): Boolean = backoffs[server]?.until?.hasNotPassedNow() ?: false

    private companion object {
        const val FULL = 1.0
        const val HALF = 0.5
        val MAX_REPORT_AGE = 2.seconds
        val INITIAL_BACKOFF = 1.seconds
        val MAX_BACKOFF = 8.seconds
    }
}
