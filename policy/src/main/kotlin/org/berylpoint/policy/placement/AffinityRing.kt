package org.berylpoint.policy.placement

import org.berylpoint.policy.Rendezvous

/**
 * Maps prompt prefixes to few servers in O(log n) by consistent hashing (Karger et al., 1997).
 *
 * Each item stands at [POINTS] places of a ring of 64-bit hashes; a prefix takes the items that follow its own hash.
 * Rendezvous hashing spreads more evenly but looks at every item, which takes too long with 10,000 of them. A ring is
 * immutable: build a new one when the set of items changes.
 *
 * ```
 * val ring = AffinityRing(servers) { it.id.value }
 * val few = ring.candidates(prefix, 4) { it.isOpen }
 * ```
 */
public class AffinityRing<T>(items: List<T>, id: (T) -> String) {
    private val hashes: LongArray
    private val owners: List<T>

    init {
        val points = items.flatMap { item ->
            val name = id(item)
            (0 until POINTS).map { Rendezvous.weight(name, it.toString()) to item }
        }.sortedBy { it.first }
        hashes = LongArray(points.size) { points[it].first }
        owners = points.map { it.second }
    }

    /** Up to [count] different items for [prefix] that [accept] lets pass, nearest first. */
    public fun candidates(prefix: String, count: Int, accept: (T) -> Boolean = { true }): List<T> {
        if (owners.isEmpty()) return emptyList()
        val start = hashes.binarySearch(Rendezvous.weight(PREFIX_SALT, prefix)).let { if (it < 0) -it - 1 else it }
        val found = LinkedHashSet<T>(count * 2)
        var step = 0
        while (step < owners.size && found.size < count) {
            val item = owners[(start + step) % owners.size]
            if (item !in found && accept(item)) found += item
            step++
        }
        return found.toList()
    }

    public companion object {
        /** Places per item; with 16 the busiest item gets less than twice the mean of a uniform load. */
        public const val POINTS: Int = 16

        // Keeps a prefix from falling on the point of a server of the same name.
        private const val PREFIX_SALT = "prefix"
    }
}
