package org.berylpoint.entry.judgement

import org.berylpoint.model.BackendServerId
import org.berylpoint.model.RequestClass
import org.berylpoint.model.VersionName

/**
 * Keeps slow answers of cold servers out of the evidence, since they are no fault of the version.
 *
 * A server is taken for fresh for a ramp's time from its first outcome. Slow answers of a known server are held for as
 * long, as it may have become cold; they count if most servers of the version turn slow together. Failures always
 * count.
 */
internal class ColdServerFilter {
    private class State(val requestClass: RequestClass, val version: VersionName, val firstMillis: Long) {
        var lastMillis = firstMillis
        var slowSinceMillis = 0L
        var lastSlowMillis: Long? = null
    }

    private val servers = mutableMapOf<BackendServerId, State>()

    /** The key under which an outcome counts; null when it counts for nothing. */
    fun evidenceKeyFor(
        server: BackendServerId,
        key: EvidenceKey,
        outcome: EvidenceOutcome,
        rampMillis: Long,
        nowMillis: Long,
    ): EvidenceKey? {
        val known = servers[server]?.takeIf { it.version == key.version }
        val state = known ?: State(key.requestClass, key.version, nowMillis).also { servers[server] = it }
        state.lastMillis = nowMillis
        return when {
            outcome != EvidenceOutcome.SLOW -> key
            nowMillis - state.firstMillis < rampMillis -> null
            nowMillis - slowSince(state, rampMillis, nowMillis) < rampMillis -> key.copy(heldAt = server)
            else -> key
        }
    }

    /** Servers of a version with an outcome lately. */
    fun recentServers(requestClass: RequestClass, version: VersionName, nowMillis: Long): Set<BackendServerId> {
        servers.values.removeAll { nowMillis - it.lastMillis > SEEN_MILLIS }
        return servers.filterValues { it.requestClass == requestClass && it.version == version }.keys
    }

    private fun slowSince(state: State, rampMillis: Long, nowMillis: Long): Long {
        val last = state.lastSlowMillis
        if (last == null || nowMillis - last > rampMillis) state.slowSinceMillis = nowMillis
        state.lastSlowMillis = nowMillis
        return state.slowSinceMillis
    }

    private companion object {
        const val SEEN_MILLIS = 120_000L
    }
}
