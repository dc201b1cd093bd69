package org.berylpoint.entry.judgement

import org.berylpoint.model.BackendServerId
import org.berylpoint.policy.judgement.Outcomes

/**
 * Keeps slow answers of cold servers out of the evidence, since they are no fault of the version.
 *
 * A server is taken for fresh for a ramp's time from its first outcome. A known server that turns slow is taken for
 * cold for as long, unless most servers of its version turn slow together. Failures always count.
 */
internal class ColdServers {
    private class State(val key: EvidenceKey, val firstMillis: Long) {
        var lastMillis = firstMillis
        var slowSinceMillis: Long? = null
        var lastSlowMillis: Long? = null
        val held = mutableMapOf<EvidenceKey, Long>()
    }

    private val servers = mutableMapOf<BackendServerId, State>()

    /** What of an outcome counts now. */
    fun admit(
        server: BackendServerId,
        key: EvidenceKey,
        outcome: EvidenceOutcome,
        rampMillis: Long,
        nowMillis: Long,
    ): Outcomes {
        val known = servers[server]?.takeIf { it.key.version == key.version }
        val state = known ?: State(key, nowMillis).also { servers[server] = it }
        state.lastMillis = nowMillis
        return when (outcome) {
            EvidenceOutcome.GOOD -> Outcomes(1, 0)
            EvidenceOutcome.FAILED -> Outcomes(0, 1)
            EvidenceOutcome.SLOW -> if (countsSlow(state, key, rampMillis, nowMillis)) Outcomes(0, 1) else Outcomes.NONE
        }
    }

    private fun countsSlow(state: State, key: EvidenceKey, rampMillis: Long, nowMillis: Long): Boolean {
        if (nowMillis - state.firstMillis < rampMillis) return false
        val last = state.lastSlowMillis
        if (last == null || nowMillis - last > rampMillis) {
            state.slowSinceMillis = nowMillis
            state.held.clear()
        }
        state.lastSlowMillis = nowMillis
        if (nowMillis - checkNotNull(state.slowSinceMillis) >= rampMillis) return true
        state.held.merge(key, 1, Long::plus)
        return false
    }

    /** Held slow outcomes that count after all, because most servers of a version are slow together. */
    fun release(nowMillis: Long): Map<EvidenceKey, Outcomes> {
        servers.values.removeAll { nowMillis - it.lastMillis > FORGET_MILLIS }
        val released = mutableMapOf<EvidenceKey, Outcomes>()
        val versions = servers.values.filter { nowMillis - it.lastMillis <= SEEN_MILLIS }
            .groupBy { it.key.requestClass to it.key.version }
        for (seen in versions.values) {
            val slow = seen.filter { state -> state.lastSlowMillis?.let { nowMillis - it <= SEEN_MILLIS } == true }
            if (slow.size < 2 || 2 * slow.size <= seen.size) continue
            for (state in slow) {
                for ((key, count) in state.held) released.merge(key, Outcomes(0, count), Outcomes::plus)
                state.held.clear()
            }
        }
        return released
    }

    private companion object {
        const val SEEN_MILLIS = 10_000L
        const val FORGET_MILLIS = 600_000L
    }
}
