package org.berylpoint.policy.placement

import org.berylpoint.policy.Rendezvous

/**
 * Maps a prompt prefix to a few servers in O(log n) by consistent hashing (Karger et al., 1997).
 *
 * Each item has [POINTS_PER_ITEM] points on a ring of 64-bit hashes; a prefix maps to the items whose points follow its
 * own hash. Rendezvous hashing distributes prefixes more evenly but visits every item, which takes too long for 10,000
 * items. A ring is immutable: build a new one when the set of items changes.
 *
 * ```
 * val ring = AffinityRing(servers) { it.id.value }
 * val candidates = ring.candidates(prefix, 4) { it.isOpen }
 * ```
 */
public class AffinityRing<T>(items: List<T>, id: (T) -> String) {
    private val hashes: LongArray
    private val itemsByHash: List<T>

    init {
        val points = items.flatMap { item ->
            val name = id(item)
            (0 until POINTS_PER_ITEM).map { Rendezvous.weight(name, it.toString()) to item }
        }.sortedBy { it.first }
        hashes = LongArray(points.size) { points[it].first }
        itemsByHash = points.map { it.second }
    }

    /** Up to [count] distinct items for [prefix] for which [accept] returns true, in ring order from its hash. */
    public fun candidates(prefix: String, count: Int, accept: (T) -> Boolean = { true }): List<T> {
        if (itemsByHash.isEmpty()) return emptyList()
        val start = hashes.binarySearch(Rendezvous.weight(PREFIX_SALT, prefix)).let { if (it < 0) -it - 1 else it }
        val found = LinkedHashSet<T>(count * 2)
        var step = 0
        while (step < itemsByHash.size && found.size < count) {
            val item = itemsByHash[(start + step) % itemsByHash.size]
            if (item !in found && accept(item)) found += item
            step++
        }
        return found.toList()
    }

    public companion object {
        /** Ring points per item; with 16 the busiest item gets less than twice the mean of a uniform load. */
        public const val POINTS_PER_ITEM: Int = 16

        // Keeps the hash of a prefix distinct from the points of a server with the same name.
        private const val PREFIX_SALT = "prefix"
    }
}
