package org.berylpoint.entry.gateway.queue

import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.GatewayMetrics
import org.berylpoint.model.serving.ServiceName

/** Log lines and counters of the queues. */
internal class QueueEvents(private val log: DecisionLog, private val metrics: GatewayMetrics) {
    private class Limits(val loggedAtMillis: Long, val areLimiting: Boolean)

    /** What was logged last, by service. */
    private val logged = HashMap<ServiceName, Limits>()

    fun waited(rank: Int, millis: Long): Unit = metrics.queueWaited(rank, millis)

    fun refused(rank: Int, reason: String): Unit = metrics.queueRefused(rank, reason)

    fun taskFailed(service: ServiceName, failure: Exception): Unit =
        log.event("queue", "a task failed", "service" to service.value, "cause" to failure.stackTraceToString())

    /** Logs that shares begin or cease to limit [service], at most once in [MIN_LOG_INTERVAL_MILLIS] for each. */
    @Synchronized
    fun updated(service: ServiceName, state: QueueState, nowMillis: Long) {
        val last = logged[service]
        val isLimiting = state.allowance.isLimited
        if (isLimiting == (last?.areLimiting ?: false)) return
        if (last != null && nowMillis - last.loggedAtMillis < MIN_LOG_INTERVAL_MILLIS) return
        logged[service] = Limits(nowMillis, isLimiting)
        val largest = state.allowance.groups.entries.filter { it.value.isLimited }
            .sortedByDescending { it.value.demand - it.value.share }
            .take(MAX_LOGGED_GROUPS)
        log.event(
            "queue",
            if (isLimiting) "shares limit a service" else "shares limit a service no more",
            "service" to service.value,
            "capacity" to state.capacity,
            "running" to state.reported.values.sumOf { it.running },
            "waiting" to state.waiting.values.sumOf { it.waiting },
            "limited" to largest.map { (group, share) ->
                "${group.workspace?.name ?: "others"}/${group.rank}: %.1f of %.1f".format(share.share, share.demand)
            },
        )
    }

    private companion object {
        const val MIN_LOG_INTERVAL_MILLIS = 1_000L
        const val MAX_LOGGED_GROUPS = 4
    }
}
