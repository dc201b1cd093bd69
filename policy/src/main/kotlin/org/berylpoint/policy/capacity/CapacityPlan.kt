package org.berylpoint.policy.capacity

import org.berylpoint.model.FailureDomain
import kotlin.math.ceil

/** The supply of servers for one service in one failure domain. */
public data class DomainSupply(
    val domain: FailureDomain,
    /** Price of an on-demand server. */
    val price: Double,
    /** Reclaimable servers in the domain that are warm and not about to stop. */
    val warmReclaimable: Int,
    /** Reclaimable servers in the domain that are not about to stop, including cold ones. */
    val presentReclaimable: Int,
    /** Whether no more reclaimable servers are available in the domain at present. */
    val isReclaimableExhausted: Boolean,
    /** Whether operators have taken the domain out of service. */
    val isOutOfService: Boolean,
    /** Capacity of the [warmReclaimable] servers, in servers of typical speed. */
    val warmReclaimableCapacity: Double = warmReclaimable.toDouble(),
)

/** Bounds of a service's number of servers in each domain, and whether reclaimable servers may be ordered for it. */
public data class CapacityBounds(
    val min: Int,
    val max: Int,
    val allowsReclaimable: Boolean,
    /** Capacity of one on-demand server, in servers of typical speed. */
    val onDemandCapacity: Double = 1.0,
)

/** Target numbers of on-demand and of reclaimable servers in one domain. */
public data class DomainOrder(val domain: FailureDomain, val onDemand: Int, val reclaimable: Int)

/**
 * Distributes the servers that a service needs over its domains, as on-demand and reclaimable servers.
 *
 * Reclaimable servers are ordered in every domain, with headroom for the loss of one domain, because the cloud provider
 * reclaims them one domain at a time. On-demand servers cover the load that warm reclaimable servers do not carry, at
 * present or after the loss of the domain with most of them. Their number never falls below a base that continues to
 * serve when several domains are reclaimed at once.
 */
public object CapacityPlan {
    /** Returns the orders for a load that requires [needed] servers of typical speed, one for each of [domains]. */
    public fun orders(needed: Double, domains: List<DomainSupply>, bounds: CapacityBounds): List<DomainOrder> {
        val usable = domains.filterNot { it.isOutOfService }
        val reclaimable = reclaimableByDomain(needed, usable, bounds)
        val onDemand = distribute(totalOnDemand(needed, usable, bounds), usable, reclaimable, bounds)
        return domains.map { supply ->
            val onDemandCount = onDemand[supply] ?: 0
            val reclaimableCount = (reclaimable[supply] ?: 0).coerceIn(0, maxOf(0, bounds.max - onDemandCount))
            val missing = (bounds.min - onDemandCount - reclaimableCount).coerceAtLeast(0)
            DomainOrder(supply.domain, onDemandCount + missing, reclaimableCount)
        }
    }

    private fun reclaimableByDomain(
        needed: Double,
        usable: List<DomainSupply>,
        bounds: CapacityBounds,
    ): Map<DomainSupply, Int> {
        if (!bounds.allowsReclaimable) return emptyMap()
        val sources = usable.filter { !it.isReclaimableExhausted || it.presentReclaimable > 0 }
        // A domain without reclaimable servers gets them again after some time, so the other domains make up for the
        // servers of at most one such domain.
        val assumedSources = maxOf(sources.size, usable.size - 1)
        val perDomain = ceil(needed * RECLAIMABLE_HEADROOM / maxOf(1, assumedSources - 1)).toInt()
        return sources.associateWith {
            if (it.isReclaimableExhausted) minOf(perDomain, it.presentReclaimable) else perDomain
        }
    }

    private fun totalOnDemand(needed: Double, usable: List<DomainSupply>, bounds: CapacityBounds): Int {
        val warm = usable.sumOf { it.warmReclaimableCapacity }
        val warmAfterLoss = warm - (usable.maxOfOrNull { it.warmReclaimableCapacity } ?: 0.0)
        val missing = maxOf(
            ceil(needed * BASE_RATIO),
            ceil(needed * WARM_HEADROOM) - warm,
            ceil(needed * RATIO_AFTER_LOSS) - warmAfterLoss,
        )
        return ceil(missing / bounds.onDemandCapacity - ROUNDING_MARGIN).toInt()
    }

    /**
     * Distributes [count] on-demand servers evenly. Domains whose reclaimable servers are fewer than the minimum come
     * first, then the cheapest ones.
     */
    private fun distribute(
        count: Int,
        domains: List<DomainSupply>,
        reclaimable: Map<DomainSupply, Int>,
        bounds: CapacityBounds,
    ): Map<DomainSupply, Int> {
        val byPreference = domains.sortedWith(
            compareBy<DomainSupply> { (reclaimable[it] ?: 0) >= bounds.min }.thenBy { it.price },
        )
        val counts = byPreference.associateWith { 0 }.toMutableMap()
        repeat(count.coerceIn(0, bounds.max * domains.size)) {
            val next = byPreference.filter { counts.getValue(it) < bounds.max }.minBy { counts.getValue(it) }
            counts[next] = counts.getValue(next) + 1
        }
        return counts
    }

    /** Reclaimable servers outside of any one domain, as a multiple of the servers needed; of four, two may be lost. */
    private const val RECLAIMABLE_HEADROOM = 1.5

    /** Warm servers of both kinds, as a multiple of the servers needed. */
    private const val WARM_HEADROOM = 1.1

    /** Warm servers left after a domain's reclaimable ones are lost, until others start, relative to those needed. */
    private const val RATIO_AFTER_LOSS = 1.0

    /** A missing part of a server below which no further one is ordered. */
    private const val ROUNDING_MARGIN = 0.05

    /** On-demand servers kept whatever is reclaimed, as a fraction of the servers needed. */
    private const val BASE_RATIO = 0.3
}
