package org.berylpoint.entry.judgement

import org.berylpoint.model.BackendServerId
import org.berylpoint.model.RequestClass
import org.berylpoint.model.VersionName

/**
 * Excludes slow responses that a cold server explains from the evidence, since they are not a fault of the version.
 *
 * A server counts as cold for the duration of its class's ramp, starting with its first outcome; slow outcomes in that
 * time are dropped. Later slow outcomes are deferred for the same duration, as the server may have become cold again;
 * [DeferredSlowOutcomes] counts them if most servers of the version are slow at the same time. Other outcomes,
 * failures included, always count.
 */
internal class ColdServerFilter {
    private class ServerState(val requestClass: RequestClass, val version: VersionName, val firstOutcomeMillis: Long) {
        var lastOutcomeMillis = firstOutcomeMillis
        var slowPeriodStartMillis = 0L
        var lastSlowMillis: Long? = null
    }

    private val servers = mutableMapOf<BackendServerId, ServerState>()

    /**
     * Records an outcome of [server] and returns the key under which to count it, or null if it is not to be counted.
     *
     * [EvidenceKey.heldAt] is set in the key of a deferred outcome.
     */
    fun evidenceKeyFor(
        server: BackendServerId,
        key: EvidenceKey,
        outcome: EvidenceOutcome,
        rampMillis: Long,
        nowMillis: Long,
    ): EvidenceKey? {
        val previous = servers[server]?.takeIf { it.version == key.version }
        val state = previous ?: ServerState(key.requestClass, key.version, nowMillis).also { servers[server] = it }
        state.lastOutcomeMillis = nowMillis
        return when {
            outcome != EvidenceOutcome.SLOW -> key
            nowMillis - state.firstOutcomeMillis < rampMillis -> null
            nowMillis - recordSlowOutcome(state, rampMillis, nowMillis) < rampMillis -> key.copy(heldAt = server)
            else -> key
        }
    }

    /** The servers of a version that had an outcome in the last [SERVER_RETENTION_MILLIS]. */
    fun recentServers(requestClass: RequestClass, version: VersionName, nowMillis: Long): Set<BackendServerId> {
        servers.values.removeAll { nowMillis - it.lastOutcomeMillis > SERVER_RETENTION_MILLIS }
        return servers.filterValues { it.requestClass == requestClass && it.version == version }.keys
    }

    /** Records a slow outcome and returns the start of the current slow period, which ends after a ramp without one. */
    private fun recordSlowOutcome(state: ServerState, rampMillis: Long, nowMillis: Long): Long {
        val last = state.lastSlowMillis
        if (last == null || nowMillis - last > rampMillis) state.slowPeriodStartMillis = nowMillis
        state.lastSlowMillis = nowMillis
        return state.slowPeriodStartMillis
    }

    private companion object {
        const val SERVER_RETENTION_MILLIS = 120_000L
    }
}
