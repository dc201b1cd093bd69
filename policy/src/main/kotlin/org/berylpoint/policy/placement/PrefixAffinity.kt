package org.berylpoint.policy.placement

/**
 * Ranks servers for a prompt prefix by rendezvous hashing (Thaler and Ravishankar, 1998).
 *
 * Prompts with the same prefix go to the same few servers, whose prefix caches then contain the prefix. The relative
 * order of the other servers does not change when a server joins or leaves.
 */
public object PrefixAffinity {
    /** The [count] items with the highest hashes for [prefix], highest first; [id] identifies an item. */
    public fun <T> ranked(prefix: String, items: List<T>, count: Int, id: (T) -> String): List<T> {
        val seed = fnv1a(prefix)
        return items.map { it to mix(seed xor fnv1a(id(it))) }
            .sortedByDescending { it.second }
            .take(count)
            .map { it.first }
    }

    private fun fnv1a(text: String): Long {
        var hash = FNV_OFFSET
        for (c in text) hash = (hash xor c.code.toLong()) * FNV_PRIME
        return hash
    }

    // Finalizer of SplitMix64 (Steele, Lea and Flood, 2014): each input bit affects all bits of the result.
    private fun mix(value: Long): Long {
        var z = value
        z = (z xor (z ushr 30)) * -0x40a7b892e31b1a47L
        z = (z xor (z ushr 27)) * -0x6b2fb644ecceee15L
        return z xor (z ushr 31)
    }

    private const val FNV_OFFSET = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L
}
