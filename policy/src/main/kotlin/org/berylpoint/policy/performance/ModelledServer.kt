package org.berylpoint.policy.performance

import org.berylpoint.model.BackendServerId
import org.berylpoint.model.VersionName
import org.berylpoint.model.serving.RegisteredServer
import org.berylpoint.model.serving.Service
import org.berylpoint.model.serving.ServiceName

/** One process of a backend server, with the properties on which its expected performance depends. */
public data class ModelledServer(
    val id: BackendServerId,
    /** Start time in Unix milliseconds; a server restarted under the same [id] is another process. */
    val startedAtMillis: Long,
    val service: ServiceName,
    val version: VersionName,
    /** Requests that the server runs concurrently. */
    val slots: Int,
    /** Tokens in one event of a stream; null for a server of a plain service. */
    val tokensPerEvent: Int?,
) {
    /**
     * Identifies the process in reports. The start time is part of the hash, so that evidence of an earlier process
     * under the same id is not applied to a restarted server.
     */
    val key: Int = reportKey("${id.value}@$startedAtMillis")

    /** Part of the slots that [active] running requests take; above 1 if requests wait for a slot. */
    internal fun occupancy(active: Int): Double = active.toDouble() / slots.coerceAtLeast(1)

    public companion object {
        /** The process of [server], which belongs to [service]. */
        public fun of(server: RegisteredServer, service: Service): ModelledServer = ModelledServer(
            server.id,
            server.startedAtMillis,
            server.service,
            server.version,
            service.engine?.batchSlots ?: server.slots,
            service.engine?.tokensPerEvent?.coerceAtLeast(1),
        )
    }
}

/** 32-bit FNV-1a hash with a final mix: a server or a value of a service in reports. */
internal fun reportKey(text: String): Int {
    var hash = FNV_OFFSET
    for (c in text) hash = (hash xor c.code) * FNV_PRIME
    hash = (hash xor (hash ushr 16)) * MIX_FACTOR
    return hash xor (hash ushr 13)
}

private const val FNV_OFFSET = -0x7ee3623b
private const val FNV_PRIME = 0x01000193
private const val MIX_FACTOR = -0x7a143595
