package org.berylpoint.policy.placement

/**
 * Orders servers for a prompt prefix by rendezvous hashing (Thaler and Ravishankar, 1998).
 *
 * Prompts with the same prefix meet the same few servers, whose prefix caches then hold it, and the order of the other
 * servers does not change when one joins or leaves.
 */
public object PrefixAffinity {
    /** The [count] items of highest score for [prefix], best first. */
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

    // Finaliser of SplitMix64 (Steele, Lea and Flood, 2014): spreads each input bit over the result.
    private fun mix(value: Long): Long {
        var z = value
        z = (z xor (z ushr 30)) * -0x40a7b892e31b1a47L
        z = (z xor (z ushr 27)) * -0x6b2fb644ecceee15L
        return z xor (z ushr 31)
    }

    private const val FNV_OFFSET = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L
}
