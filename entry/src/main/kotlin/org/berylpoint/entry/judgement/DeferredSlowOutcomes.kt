package org.berylpoint.entry.judgement

import org.berylpoint.model.BackendServerId
import org.berylpoint.policy.judgement.Outcomes
import org.berylpoint.policy.judgement.Stratum

/** Slow outcomes of one version at servers that may only be cold, pooled over the entry instances. */
internal class DeferredSlowOutcomes(private val rampMillis: Long) {
    private class Held(var lastMillis: Long, val counts: MutableMap<Stratum, Outcomes> = mutableMapOf())

    private val servers = mutableMapOf<BackendServerId, Held>()

    /** Outcomes held so far, whatever became of them. */
    var total: Long = 0
        private set

    fun add(server: BackendServerId, stratum: Stratum, outcomes: Outcomes, nowMillis: Long) {
        val held = servers.getOrPut(server) { Held(nowMillis) }
        held.lastMillis = nowMillis
        held.counts.merge(stratum, outcomes, Outcomes::plus)
        total += outcomes.total
    }

    /** Outcomes that count after all, because most of the version's servers, [seen] lately, are slow together. */
    fun release(seen: Set<BackendServerId>, nowMillis: Long): Map<Stratum, Outcomes> {
        servers.values.removeAll { nowMillis - it.lastMillis > rampMillis }
        val slow = servers.filterValues { nowMillis - it.lastMillis <= TOGETHER_MILLIS }
        if (slow.size < 2 || 2 * slow.size <= (seen + slow.keys).size) return emptyMap()
        val released = mutableMapOf<Stratum, Outcomes>()
        for (held in slow.values) {
            held.counts.forEach { (stratum, outcomes) -> released.merge(stratum, outcomes, Outcomes::plus) }
            held.counts.clear()
        }
        return released
    }

    private companion object {
        const val TOGETHER_MILLIS = 10_000L
    }
}
