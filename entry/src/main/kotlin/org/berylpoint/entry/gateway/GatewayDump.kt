package org.berylpoint.entry.gateway

import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.berylpoint.entry.gateway.duty.DutyLeaseManager
import org.berylpoint.entry.gateway.duty.RolloutDuty
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.entry.gateway.queue.QueueDump
import org.berylpoint.entry.gateway.server.ServerSpeeds
import org.berylpoint.entry.gateway.site.SiteState
import org.berylpoint.entry.gateway.site.StoreEras

/** The state of a gateway process as it believes it to be, for operators. */
internal class GatewayDump(
    private val instance: String,
    private val build: String?,
    private val site: SiteState,
    private val eras: StoreEras,
    private val clocks: Clocks,
    private val leaseManager: DutyLeaseManager,
    private val speeds: ServerSpeeds,
    private val rollouts: RolloutDuty,
    private val queues: QueueDump,
    private val peers: PeerView,
    private val inFlight: () -> Int,
) {
    /** The state as the JSON of `/dump`. */
    fun toJson(): String = buildJsonObject {
        put("instance", instance)
        put("build", build)
        put("configVersion", site.view.config?.version)
        put("inFlight", inFlight())
        put("dutyToken", leaseManager.holder?.fencingToken)
        put("storeEra", eras.current)
        put("servers", servers())
        put("rollouts", rollouts.toJson())
        put("queues", queues.toJson())
        put("peers", buildJsonArray { for (peer in peers.liveReports) addJsonObject { put("name", peer.name) } })
    }.toString()

    private fun servers() = buildJsonArray {
        val relativeSpeeds = speeds.relativeSpeeds()
        for (server in site.view.servers.values) {
            addJsonObject {
                put("id", server.entry.id.value)
                put("service", server.entry.service.value)
                put("draining", server.entry.isDraining)
                put("cold", server.isCold(clocks.steadyMillis))
                put("revision", server.revision.number)
                put("speed", relativeSpeeds[server.entry.id])
            }
        }
    }
}
