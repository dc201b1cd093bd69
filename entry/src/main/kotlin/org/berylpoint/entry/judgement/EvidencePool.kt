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

/** What a counter counts; [heldAt] is set for slow outcomes at a server that may only be cold. */
internal data class EvidenceKey(
    val requestClass: RequestClass,
    val version: VersionName,
    val stratum: Stratum,
    val heldAt: BackendServerId? = null,
)

/**
 * Outcomes by reporter. Each reporter's counters only grow, so a heartbeat that is lost, late or repeated changes
 * nothing in the end; the sum over the reporters is the pooled evidence.
 */
internal class EvidencePool(private val self: InstanceId, private val random: Random) {
    private val counters = mutableMapOf<InstanceId, MutableMap<EvidenceKey, Outcomes>>()
    private val changedAt = mutableMapOf<EvidenceKey, Long>()

    /** Counts outcomes that this instance saw. */
    fun count(key: EvidenceKey, outcomes: Outcomes, nowMillis: Long) {
        counters.getOrPut(self) { mutableMapOf() }.merge(key, outcomes, Outcomes::plus)
        changedAt[key] = nowMillis
    }

    /** Takes in a peer's counter unless a higher one is known. */
    fun merge(counter: EvidenceCounter) {
        if (counter.reporter == self) return
        val key = EvidenceKey(
            counter.requestClass,
            counter.version,
            Stratum(counter.route, counter.from, counter.to),
            counter.heldAt,
        )
        val known = counters.getOrPut(counter.reporter) { mutableMapOf() }
        val old = known[key] ?: Outcomes.NONE
        known[key] = Outcomes(maxOf(old.good, counter.good), maxOf(old.bad, counter.bad))
    }

    /** Sums over all reporters for a class. */
    fun totals(requestClass: RequestClass): Map<EvidenceKey, Outcomes> {
        val sums = mutableMapOf<EvidenceKey, Outcomes>()
        for (known in counters.values) {
            for ((key, outcomes) in known) {
                if (key.requestClass == requestClass) sums.merge(key, outcomes, Outcomes::plus)
            }
        }
        return sums
    }

    /**
     * Counters for one heartbeat: this instance's own that changed lately, all of its own now and then for peers that
     * missed a change, and some of other reporters when [relays], for at large sizes not every instance hears every
     * reporter.
     */
    fun heartbeatCounters(classes: Set<RequestClass>, nowMillis: Long, relays: Boolean): List<EvidenceCounter> {
        if (classes.isEmpty()) return emptyList()
        val isFull = nowMillis % FULL_EVERY_MILLIS < BEAT_MILLIS
        val own = counters[self].orEmpty().filterKeys { key ->
            val age = nowMillis - (changedAt[key] ?: 0)
            key.requestClass in classes && (isFull || age <= 2 * BEAT_MILLIS)
        }
        val others = if (relays) othersSample(classes) else emptyList()
        return own.map { (key, outcomes) -> counter(self, key, outcomes) } + others
    }

    /** Drops counters of versions that the catalogue no longer has. */
    fun purge(catalogue: Catalogue) {
        val versions = catalogue.entries.values.map { it.requestClass to it.version }.toSet()
        counters.values.forEach { known -> known.keys.removeAll { (it.requestClass to it.version) !in versions } }
        counters.values.removeAll { it.isEmpty() }
        changedAt.keys.removeAll { (it.requestClass to it.version) !in versions }
    }

    private fun othersSample(classes: Set<RequestClass>): List<EvidenceCounter> = counters.filterKeys { it != self }
        .flatMap { (reporter, known) ->
            known.filterKeys { it.requestClass in classes }.map { (key, it) -> counter(reporter, key, it) }
        }
        .shuffled(random)
        .take(RELAYED)

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
        const val FULL_EVERY_MILLIS = 5_000L

        // A little more than the interval of heartbeats, so that each peer gets one in this time.
        const val BEAT_MILLIS = 700L
        const val RELAYED = 24
    }
}

/** Recent outcomes of all classes by the servers' failure domain, to know a link that is bad for everybody. */
internal class LinkHealth {
    private val recent = mutableMapOf<Pair<FailureDomain, RequestClass>, Outcomes>()
    private var sinceMillis = 0L

    fun count(to: FailureDomain, requestClass: RequestClass, outcomes: Outcomes, nowMillis: Long) {
        if (nowMillis - sinceMillis > WINDOW_MILLIS) {
            recent.clear()
            sinceMillis = nowMillis
        }
        recent.merge(to to requestClass, outcomes, Outcomes::plus)
    }

    /** Whether classes other than [requestClass] fare badly on the link to [to]. */
    fun isBadForOtherClasses(to: FailureDomain, requestClass: RequestClass): Boolean {
        val others = recent.filterKeys { it.first == to && it.second != requestClass }.values
            .fold(Outcomes.NONE, Outcomes::plus)
        return others.total >= MIN_OUTCOMES && others.bad >= BAD_SHARE * others.total
    }

    private companion object {
        const val WINDOW_MILLIS = 20_000L
        const val MIN_OUTCOMES = 5
        const val BAD_SHARE = 0.3
    }
}
