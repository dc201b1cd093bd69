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
    /** Reclaimable servers there that are not leaving, cold ones included. */
    val presentReclaimable: Int,
    /** Whether no more reclaimable servers can be had there at present. */
    val isReclaimableExhausted: Boolean,
    /** Whether operators took it out of service. */
    val isOutOfService: Boolean,
)

/** Bounds of a service's number of servers in each domain. */
public data class CapacityBounds(val min: Int, val max: Int, val allowsReclaimable: Boolean)

/** Servers to order in one domain. */
public data class DomainOrder(val domain: FailureDomain, val onDemand: Int, val reclaimable: Int)

/**
 * Spreads the servers that a service needs over its domains and kinds.
 *
 * Reclaimable servers are ordered in every domain with room for the loss of one domain, since they are taken back a
 * domain at a time. On-demand servers make up what warm reclaimable ones do not carry, now or after the loss of the
 * domain with most of them, and never fall below a base that serves on when several domains are taken back at once.
 */
public object CapacityPlan {
    /** Orders for a load that [needed] servers carry. */
    public fun orders(needed: Double, domains: List<DomainSupply>, bounds: CapacityBounds): List<DomainOrder> {
        val usable = domains.filterNot { it.isOutOfService }
        val reclaimable = reclaimable(needed, usable, bounds)
        val onDemand = spread(onDemand(needed, usable), usable, reclaimable, bounds)
        return domains.map { supply ->
            val fixed = onDemand[supply] ?: 0
            val cheap = (reclaimable[supply] ?: 0).coerceIn(0, maxOf(0, bounds.max - fixed))
            val lacking = (bounds.min - fixed - cheap).coerceAtLeast(0)
            DomainOrder(supply.domain, fixed + lacking, cheap)
        }
    }

    private fun reclaimable(
        needed: Double,
        usable: List<DomainSupply>,
        bounds: CapacityBounds,
    ): Map<DomainSupply, Int> {
        if (!bounds.allowsReclaimable) return emptyMap()
        val sources = usable.filter { !it.isReclaimableExhausted || it.presentReclaimable > 0 }
        // A domain without reclaimable servers has them again after a while, so the others make up for one at most.
        val spread = maxOf(sources.size, usable.size - 1)
        val each = ceil(needed * RECLAIMABLE_HEADROOM / maxOf(1, spread - 1)).toInt()
        return sources.associateWith { if (it.isReclaimableExhausted) minOf(each, it.presentReclaimable) else each }
    }

    private fun onDemand(needed: Double, usable: List<DomainSupply>): Int {
        val warm = usable.sumOf { it.warmReclaimable }
        val warmAfterLoss = warm - (usable.maxOfOrNull { it.warmReclaimable } ?: 0)
        return maxOf(
            ceil(needed * BASE_SHARE).toInt(),
            ceil(needed * WARM_HEADROOM).toInt() - warm,
            ceil(needed * SHARE_AFTER_LOSS).toInt() - warmAfterLoss,
        )
    }

    /** Domains that lack servers for the least number come first, then the cheapest ones. */
    private fun spread(
        count: Int,
        domains: List<DomainSupply>,
        reclaimable: Map<DomainSupply, Int>,
        bounds: CapacityBounds,
    ): Map<DomainSupply, Int> {
        val order = domains.sortedWith(
            compareBy<DomainSupply> { (reclaimable[it] ?: 0) >= bounds.min }.thenBy { it.price },
        )
        val counts = order.associateWith { 0 }.toMutableMap()
        repeat(count.coerceIn(0, bounds.max * domains.size)) {
            val next = order.filter { counts.getValue(it) < bounds.max }.minBy { counts.getValue(it) }
            counts[next] = counts.getValue(next) + 1
        }
        return counts
    }

    /** Reclaimable servers ordered over those needed, outside of any one domain; of four domains two may go. */
    private const val RECLAIMABLE_HEADROOM = 1.5

    /** Servers of both kinds that are to be warm, over those needed. */
    private const val WARM_HEADROOM = 1.1

    /** Part of the servers needed that is left when a domain's reclaimable ones are taken back, until others start. */
    private const val SHARE_AFTER_LOSS = 1.0

    /** Share of the load that on-demand servers carry whatever is reclaimed. */
    private const val BASE_SHARE = 0.3
}
