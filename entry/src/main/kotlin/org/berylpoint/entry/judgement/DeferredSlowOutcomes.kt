package org.berylpoint.entry.judgement

import org.berylpoint.model.BackendServerId
import org.berylpoint.policy.judgement.Outcomes
import org.berylpoint.policy.judgement.Stratum

/**
 * Slow outcomes of one version, pooled over the entry instances, at servers that may be slow only because they are
 * cold.
 */
internal class DeferredSlowOutcomes(private val rampMillis: Long) {
    private class ServerOutcomes(var lastOutcomeMillis: Long) {
        val byStratum = mutableMapOf<Stratum, Outcomes>()
    }

    private val servers = mutableMapOf<BackendServerId, ServerOutcomes>()

    /** Number of outcomes deferred so far, including those released or expired since. */
    var total: Long = 0
        private set

    fun add(server: BackendServerId, stratum: Stratum, outcomes: Outcomes, nowMillis: Long) {
        val deferred = servers.getOrPut(server) { ServerOutcomes(nowMillis) }
        deferred.lastOutcomeMillis = nowMillis
        deferred.byStratum.merge(stratum, outcomes, Outcomes::plus)
        total += outcomes.total
    }

    /**
     * Removes and returns the outcomes that count after all, because most servers of the version are slow at the same
     * time. [recentServers] are the servers of the version that had an outcome recently.
     */
    fun release(recentServers: Set<BackendServerId>, nowMillis: Long): Map<Stratum, Outcomes> {
        servers.values.removeAll { nowMillis - it.lastOutcomeMillis > rampMillis }
        val slow = servers.filterValues { nowMillis - it.lastOutcomeMillis <= SIMULTANEOUS_MILLIS }
        if (slow.size < 2 || 2 * slow.size <= (recentServers + slow.keys).size) return emptyMap()
        val released = mutableMapOf<Stratum, Outcomes>()
        for (deferred in slow.values) {
            deferred.byStratum.forEach { (stratum, outcomes) -> released.merge(stratum, outcomes, Outcomes::plus) }
            deferred.byStratum.clear()
        }
        return released
    }

    private companion object {
        const val SIMULTANEOUS_MILLIS = 10_000L
    }
}
