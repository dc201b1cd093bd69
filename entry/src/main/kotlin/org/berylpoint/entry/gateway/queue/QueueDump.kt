package org.berylpoint.entry.gateway.queue

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.berylpoint.entry.gateway.GatewayMetrics
import org.berylpoint.model.serving.ServiceName
import org.berylpoint.policy.share.ShareGroup

/** The queues and shares of an instance for operators: in its dump and as gauges. */
internal class QueueDump(private val states: () -> Map<ServiceName, QueueState>) {
    /** One object for each service. */
    fun toJson(): JsonArray = buildJsonArray {
        for ((service, state) in states().entries.sortedBy { it.key.value }) add(serviceObject(service, state))
    }

    private fun serviceObject(service: ServiceName, state: QueueState): JsonObject = buildJsonObject {
        put("service", service.value)
        put("capacity", state.capacity)
        put("limited", state.allowance.isLimited)
        put("running", state.reported.values.sumOf { it.running })
        put("waiting", state.waiting.values.sumOf { it.waiting })
        put("roomFraction", state.allowance.room.run { to - from })
        put("groups", buildJsonArray { for (group in groupsOf(state)) addJsonObject { putGroup(state, group) } })
    }

    private fun JsonObjectBuilder.putGroup(state: QueueState, group: ShareGroup) {
        put("rank", group.rank)
        put("workspace", group.workspace?.name)
        state.allowance.groups[group]?.let {
            put("share", it.share)
            put("demand", it.demand)
            put("portion", it.portion)
        }
        put("running", state.reported[group]?.running ?: 0)
        put("refused", state.reported[group]?.refused ?: 0.0)
        put("waiting", state.waiting[group]?.waiting ?: 0)
    }

    private fun groupsOf(state: QueueState): List<ShareGroup> =
        (state.allowance.groups.keys + state.reported.keys + state.waiting.keys)
            .sortedWith(compareBy({ it.rank }, { it.workspace?.name.orEmpty() }))

    /** Registers the gauges, which are read at each scrape. */
    fun register(metrics: GatewayMetrics) {
        metrics.gauges("berylpoint_queue_length", "Requests that wait for a server.", listOf("service", "rank")) {
            values { state ->
                state.waiting.entries.groupBy({ it.key.rank }, { it.value.waiting }).mapValues { it.value.sum() }
            }
        }
        metrics.gauges("berylpoint_shares_limit", "1 while demand exceeds the service's slots.", listOf("service")) {
            states().entries.associate { (service, state) ->
                listOf(service.value) to if (state.allowance.isLimited) 1.0 else 0.0
            }
        }
        groupGauge(metrics, "berylpoint_share_slots", "Slots that a workspace gets at all instances.") { state ->
            state.allowance.groups.mapValues { it.value.share }
        }
        groupGauge(metrics, "berylpoint_share_demand_slots", "Slots that a workspace asks for.") { state ->
            state.allowance.groups.mapValues { it.value.demand }
        }
        groupGauge(metrics, "berylpoint_share_running", "Requests of a workspace in progress here.") { state ->
            state.reported.mapValues { it.value.running.toDouble() }
        }
        groupGauge(metrics, "berylpoint_share_waiting", "Requests of a workspace that wait here.") { state ->
            state.waiting.filterKeys { it in state.reported }.mapValues { it.value.waiting.toDouble() }
        }
    }

    private fun values(byRank: (QueueState) -> Map<Int, Int>): Map<List<String>, Double> =
        states().entries.flatMap { (service, state) ->
            byRank(state).map { (rank, count) -> listOf(service.value, "$rank") to count.toDouble() }
        }.toMap()

    private fun groupGauge(
        metrics: GatewayMetrics,
        name: String,
        help: String,
        byGroup: (QueueState) -> Map<ShareGroup, Double>,
    ) = metrics.gauges(name, help, listOf("service", "rank", "workspace")) {
        states().entries.flatMap { (service, state) ->
            byGroup(state).map { (group, value) ->
                listOf(service.value, "${group.rank}", group.workspace?.name ?: OTHERS) to value
            }
        }.toMap()
    }

    private companion object {
        /** Label of the workspaces that reports do not list by name. */
        const val OTHERS = "others"
    }
}
