package org.berylpoint.policy.capacity

import org.berylpoint.model.FailureDomain
import kotlin.math.ceil

/** What is known of one failure domain when servers are ordered for it. */
public data class DomainSupply(
    val domain: FailureDomain,
    /** Price of an on-demand server. */
    val price: Double,
    /** Reclaimable servers there that are warm and not leaving. */
    val warmReclaimable: Int,
    /** Whether reclaimable servers can't be had there at present. */
    val isReclaimableShort: Boolean,
    /** Whether operators took it out of service. */
    val isOutOfService: Boolean,
)

/** Bounds of a service's number of servers in each domain. */
public data class CapacityBounds(val min: Int, val max: Int, val hasReclaimable: Boolean)

/** Servers to order in one domain. */
public data class DomainOrder(val domain: FailureDomain, val onDemand: Int, val reclaimable: Int)

/**
 * Spreads the servers that a service needs over its domains and kinds.
 *
 * Reclaimable servers are ordered in every domain with room for the loss of one domain, since they are taken back a
 * domain at a time. On-demand servers make up what warm reclaimable ones do not carry, and never fall below a base
 * that serves on until others have started after a reclaim everywhere.
 */
public object CapacityPlan {
    /** Orders for a load that [needed] servers carry. */
    public fun orders(needed: Double, domains: List<DomainSupply>, bounds: CapacityBounds): List<DomainOrder> {
        val usable = domains.filterNot { it.isOutOfService }
        val open = usable.filter { bounds.hasReclaimable && !it.isReclaimableShort }
        val reclaimable = if (open.isEmpty()) 0 else perDomain(needed, open.size)
        val warm = warmOutsideLargest(usable)
        val missing = ceil(needed * ON_DEMAND_HEADROOM).toInt() - warm
        val base = ceil(needed * BASE_SHARE).toInt()
        val onDemand = spread(maxOf(base, missing), usable, bounds.max)
        return domains.map { supply ->
            val fixed = onDemand[supply] ?: 0
            val cheap = if (supply in open) reclaimable.coerceIn(0, maxOf(0, bounds.max - fixed)) else 0
            val lacking = (bounds.min - fixed - cheap).coerceAtLeast(0)
            DomainOrder(supply.domain, fixed + lacking, cheap)
        }
    }

    private fun perDomain(needed: Double, open: Int): Int =
        ceil(needed * RECLAIMABLE_HEADROOM / maxOf(1, open - 1)).toInt()

    /** Warm reclaimable servers that are left when the domain with most of them is taken back. */
    private fun warmOutsideLargest(domains: List<DomainSupply>): Int =
        domains.sumOf { it.warmReclaimable } - (domains.maxOfOrNull { it.warmReclaimable } ?: 0)

    private fun spread(count: Int, domains: List<DomainSupply>, max: Int): Map<DomainSupply, Int> {
        if (domains.isEmpty()) return emptyMap()
        val byPrice = domains.sortedBy { it.price }
        val counts = byPrice.associateWith { 0 }.toMutableMap()
        var left = count.coerceAtMost(max * domains.size)
        while (left > 0) {
            val next = byPrice.filter { counts.getValue(it) < max }.minBy { counts.getValue(it) }
            counts[next] = counts.getValue(next) + 1
            left--
        }
        return counts
    }

    /** Reclaimable servers ordered over those needed, outside of any one domain. */
    private const val RECLAIMABLE_HEADROOM = 1.2

    /** Servers of both kinds that are to be warm, over those needed. */
    private const val ON_DEMAND_HEADROOM = 1.1

    /** Share of the load that on-demand servers carry whatever is reclaimed. */
    private const val BASE_SHARE = 0.4
}
