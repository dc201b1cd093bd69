package org.berylpoint.policy.capacity

import org.berylpoint.model.FailureDomain
import kotlin.math.ceil

/** What is known of one failure domain when servers are ordered for it. */
public data class DomainSupply(
    val domain: FailureDomain,
    /** Price of an on-demand server. */
    val price: Double,
    /** Whether the last order of reclaimable servers there was refused or they were reclaimed lately. */
    val isReclaimableShort: Boolean,
    /** Whether operators took it out of service. */
    val isOutOfService: Boolean,
)

/** Bounds of a service's number of servers in each domain. */
public data class CapacityBounds(val min: Int, val max: Int, val hasReclaimable: Boolean)

/** Servers to order in one domain. */
public data class DomainOrder(val domain: FailureDomain, val onDemand: Int, val reclaimable: Int)

/**
 * Spreads the servers that a service needs over its domains.
 *
 * The load has to be carried after the loss of one domain's reclaimable servers. On-demand servers carry a base that
 * survives any reclaim; they are ordered where they are cheapest, reclaimable ones in every domain, since they go a
 * domain at a time.
 */
public object CapacityPlan {
    /** Orders for [needed] servers, of which [base] are on demand. */
    public fun orders(
        needed: Int,
        base: Int,
        domains: List<DomainSupply>,
        bounds: CapacityBounds,
    ): List<DomainOrder> {
        val usable = domains.filterNot { it.isOutOfService }.sortedBy { it.price }
        if (usable.isEmpty()) return emptyList()
        val short = usable.filter { it.isReclaimableShort || !bounds.hasReclaimable }
        val onDemand = spread(baseOf(needed, base, usable, short), usable, bounds.max)
        val open = usable - short.toSet()
        val missing = (needed - onDemand.values.sum()).coerceAtLeast(0)
        val perDomain = if (open.isEmpty()) 0 else ceil(missing.toDouble() / maxOf(1, open.size - 1)).toInt()
        return domains.map { supply ->
            val fixed = if (supply.isOutOfService) 0 else onDemand[supply] ?: 0
            val cheap = if (supply in open) perDomain.coerceAtMost(bounds.max - fixed) else 0
            val lacking = (bounds.min - fixed - cheap).coerceAtLeast(0)
            DomainOrder(supply.domain, fixed + lacking, cheap)
        }
    }

    /** Without reclaimable servers in some domains, on-demand ones take their part. */
    private fun baseOf(needed: Int, base: Int, usable: List<DomainSupply>, short: List<DomainSupply>): Int {
        val lost = ceil(needed.toDouble() * short.size / usable.size).toInt()
        return maxOf(base, lost).coerceAtMost(maxOf(needed, base))
    }

    private fun spread(count: Int, domains: List<DomainSupply>, max: Int): Map<DomainSupply, Int> {
        val counts = domains.associateWith { 0 }.toMutableMap()
        var left = count
        while (left > 0 && counts.values.any { it < max }) {
            val next = domains.filter { counts.getValue(it) < max }.minBy { counts.getValue(it) }
            counts[next] = counts.getValue(next) + 1
            left--
        }
        return counts
    }
}
