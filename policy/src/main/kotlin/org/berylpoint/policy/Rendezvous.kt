package org.berylpoint.policy

/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): every process computes the same order of nodes for a key.
 *
 * When a node joins or leaves, only the keys that rank it first change their first node. The hash is FNV-1a over the
 * UTF-8 bytes with the finalizer of MurmurHash3, so it is the same in every process and release.
 *
 * ```
 * val owner = Rendezvous.first(server.id.value, members) { it.id.value }
 * ```
 */
public object Rendezvous {
    private const val FNV_OFFSET = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L
    private const val FINALIZER_MULTIPLIER_1 = -0xae502812aa7333L
    private const val FINALIZER_MULTIPLIER_2 = -0x3b314601e57a13adL
    private const val FINALIZER_SHIFT = 33
    private const val BYTE_MASK = 0xff

    /** The node with the highest weight for [key], or null if [nodes] is empty; [name] identifies a node. */
    public fun <T> first(key: String, nodes: Iterable<T>, name: (T) -> String): T? =
        nodes.minWithOrNull(order(key, name))

    /** All [nodes] by descending weight for [key]; equal weights are ordered by name. */
    public fun <T> ranked(key: String, nodes: Iterable<T>, name: (T) -> String): List<T> =
        nodes.sortedWith(order(key, name))

    /** The weight of [node] for [key], to be compared as an unsigned number; the highest weight ranks first. */
    public fun weight(key: String, node: String): Long {
        val keyHash = fnv1a(FNV_OFFSET, key)
        // A separator byte that never occurs in UTF-8 keeps ("a", "bc") and ("ab", "c") distinct.
        val separated = (keyHash xor BYTE_MASK.toLong()) * FNV_PRIME
        return finalizeHash(fnv1a(separated, node))
    }

    private fun <T> order(key: String, name: (T) -> String): Comparator<T> =
        compareByDescending<T> { weight(key, name(it)).toULong() }.thenBy { name(it) }

    private fun fnv1a(seed: Long, text: String): Long = text.encodeToByteArray().fold(seed) { hash, byte ->
        (hash xor (byte.toInt() and BYTE_MASK).toLong()) * FNV_PRIME
    }

    private fun finalizeHash(hash: Long): Long {
        var h = hash
        h = (h xor (h ushr FINALIZER_SHIFT)) * FINALIZER_MULTIPLIER_1
        h = (h xor (h ushr FINALIZER_SHIFT)) * FINALIZER_MULTIPLIER_2
        return h xor (h ushr FINALIZER_SHIFT)
    }
}
