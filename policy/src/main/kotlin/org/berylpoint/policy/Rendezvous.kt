package org.berylpoint.policy

/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): every node computes the same order of nodes for a key.
 *
 * When a node joins or leaves, only the keys move for which it is first. The hash is FNV-1a over the UTF-8 bytes with
 * the finalizer of MurmurHash3, so it is the same in every process and release.
 *
 * ```
 * val owner = Rendezvous.first(server.id.value, members) { it.id.value }
 * ```
 */
public object Rendezvous {
    private const val FNV_OFFSET = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L
    private const val MIX_1 = -0xae502812aa7333L
    private const val MIX_2 = -0x3b314601e57a13adL
    private const val SHIFT = 33
    private const val BYTE_MASK = 0xff

    /** The node that comes first for [key], or null without nodes; [name] identifies a node. */
    public fun <T> first(key: String, nodes: Iterable<T>, name: (T) -> String): T? =
        nodes.minWithOrNull(order(key, name))

    /** All [nodes] in their order for [key]. */
    public fun <T> ranked(key: String, nodes: Iterable<T>, name: (T) -> String): List<T> =
        nodes.sortedWith(order(key, name))

    /** The weight of [node] for [key]; the node with the highest weight, as an unsigned number, comes first. */
    public fun weight(key: String, node: String): Long {
        val keyHash = fnv(FNV_OFFSET, key)
        // A separator byte that UTF-8 never contains keeps ("a", "bc") and ("ab", "c") apart.
        val separated = (keyHash xor BYTE_MASK.toLong()) * FNV_PRIME
        return mix(fnv(separated, node))
    }

    private fun <T> order(key: String, name: (T) -> String): Comparator<T> =
        compareByDescending<T> { weight(key, name(it)).toULong() }.thenBy { name(it) }

    private fun fnv(seed: Long, text: String): Long = text.encodeToByteArray().fold(seed) { hash, byte ->
        (hash xor (byte.toInt() and BYTE_MASK).toLong()) * FNV_PRIME
    }

    private fun mix(hash: Long): Long {
        var h = hash
        h = (h xor (h ushr SHIFT)) * MIX_1
        h = (h xor (h ushr SHIFT)) * MIX_2
        return h xor (h ushr SHIFT)
    }
}
