package org.berylpoint.entry.judgement

import org.berylpoint.model.BackendServerId
import org.berylpoint.model.Catalogue
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.InstanceId
import org.berylpoint.model.RequestClass
import org.berylpoint.model.VersionName
import org.berylpoint.peer.EvidenceCounter
import org.berylpoint.policy.judgement.Outcomes
import org.berylpoint.policy.judgement.Stratum
import kotlin.random.Random

/**
 * Identifies a counter of outcomes.
 *
 * [heldAt] is set for deferred outcomes: slow ones at a server that may be slow only because it is cold.
 */
internal data class EvidenceKey(
    val requestClass: RequestClass,
    val version: VersionName,
    val stratum: Stratum,
    val heldAt: BackendServerId? = null,
)

/**
 * Counters of outcomes by reporting instance; the sum over the reporters is the pooled evidence.
 *
 * Each reporter's counters only grow and are merged by maximum, so heartbeats may be lost, delayed or repeated.
 */
internal class EvidencePool(private val self: InstanceId, private val random: Random) {
    private val counters = mutableMapOf<InstanceId, MutableMap<EvidenceKey, Outcomes>>()
    private val changedAt = mutableMapOf<EvidenceKey, Long>()

    /** Counts outcomes of this instance's own attempts. */
    fun count(key: EvidenceKey, outcomes: Outcomes, nowMillis: Long) {
        counters.getOrPut(self) { mutableMapOf() }.merge(key, outcomes, Outcomes::plus)
        changedAt[key] = nowMillis
    }

    /** Merges a counter received from a peer; values lower than the stored ones are ignored. */
    fun merge(counter: EvidenceCounter) {
        if (counter.reporter == self) return
        val key = EvidenceKey(
            counter.requestClass,
            counter.version,
            Stratum(counter.route, counter.from, counter.to),
            counter.heldAt,
        )
        val stored = counters.getOrPut(counter.reporter) { mutableMapOf() }
        val old = stored[key] ?: Outcomes.NONE
        stored[key] = Outcomes(maxOf(old.good, counter.good), maxOf(old.bad, counter.bad))
    }

    /** Sums over all reporters of the counters of a class. */
    fun totals(requestClass: RequestClass): Map<EvidenceKey, Outcomes> {
        val sums = mutableMapOf<EvidenceKey, Outcomes>()
        for (stored in counters.values) {
            for ((key, outcomes) in stored) {
                if (key.requestClass == requestClass) sums.merge(key, outcomes, Outcomes::plus)
            }
        }
        return sums
    }

    /**
     * The counters of [classes] for one heartbeat.
     *
     * Contains this instance's counters that changed within two heartbeats, and every [FULL_INTERVAL_MILLIS] all of
     * them for peers that missed a change. If [relays] is true, a random sample of other reporters' counters is added,
     * because in a large cluster an instance does not receive heartbeats of every reporter.
     */
    fun heartbeatCounters(classes: Set<RequestClass>, nowMillis: Long, relays: Boolean): List<EvidenceCounter> {
        if (classes.isEmpty()) return emptyList()
        val isFull = nowMillis % FULL_INTERVAL_MILLIS < HEARTBEAT_BOUND_MILLIS
        val own = counters[self].orEmpty().filterKeys { key ->
            val age = nowMillis - (changedAt[key] ?: 0)
            key.requestClass in classes && (isFull || age <= 2 * HEARTBEAT_BOUND_MILLIS)
        }
        val others = if (relays) sampleOfOthers(classes) else emptyList()
        return own.map { (key, outcomes) -> counter(self, key, outcomes) } + others
    }

    /** Removes the counters of versions that are not in [catalogue]. */
    fun purge(catalogue: Catalogue) {
        val versions = catalogue.entries.values.map { it.requestClass to it.version }.toSet()
        counters.values.forEach { stored -> stored.keys.removeAll { (it.requestClass to it.version) !in versions } }
        counters.values.removeAll { it.isEmpty() }
        changedAt.keys.removeAll { (it.requestClass to it.version) !in versions }
    }

    private fun sampleOfOthers(classes: Set<RequestClass>): List<EvidenceCounter> = counters.filterKeys { it != self }
        .flatMap { (reporter, stored) ->
            stored.filterKeys { it.requestClass in classes }.map { (key, it) -> counter(reporter, key, it) }
        }
        .shuffled(random)
        .take(MAX_RELAYED_COUNTERS)

    private fun counter(reporter: InstanceId, key: EvidenceKey, outcomes: Outcomes) = EvidenceCounter(
        reporter,
        key.requestClass,
        key.version,
        key.stratum.route,
        key.stratum.from,
        key.stratum.to,
        outcomes.good,
        outcomes.bad,
        key.heldAt,
    )

    private companion object {
        const val FULL_INTERVAL_MILLIS = 5_000L

        // Slightly more than the heartbeat interval, so that each peer receives a heartbeat in this time.
        const val HEARTBEAT_BOUND_MILLIS = 700L
        const val MAX_RELAYED_COUNTERS = 24
    }
}

/**
 * Outcomes of all request classes by the servers' failure domain, to detect links that are faulty for all classes.
 *
 * Counts are reset every [WINDOW_MILLIS].
 */
internal class LinkHealth {
    private val outcomesByLink = mutableMapOf<Pair<FailureDomain, RequestClass>, Outcomes>()
    private var windowStartMillis = 0L

    fun count(to: FailureDomain, requestClass: RequestClass, outcomes: Outcomes, nowMillis: Long) {
        if (nowMillis - windowStartMillis > WINDOW_MILLIS) {
            outcomesByLink.clear()
            windowStartMillis = nowMillis
        }
        outcomesByLink.merge(to to requestClass, outcomes, Outcomes::plus)
    }

    /**
     * Whether at least [BAD_SHARE] of the outcomes of classes other than [requestClass] on the link to [to] were bad;
     * false with fewer than [MIN_OUTCOMES] of them.
     */
    fun isBadForOtherClasses(to: FailureDomain, requestClass: RequestClass): Boolean {
        val others = outcomesByLink.filterKeys { it.first == to && it.second != requestClass }.values
            .fold(Outcomes.NONE, Outcomes::plus)
        return others.total >= MIN_OUTCOMES && others.bad >= BAD_SHARE * others.total
    }

    private companion object {
        const val WINDOW_MILLIS = 20_000L
        const val MIN_OUTCOMES = 5
        const val BAD_SHARE = 0.3
    }
}
