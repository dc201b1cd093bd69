package org.berylpoint.peer

/** The requests of one instance at one server. */
public data class ServerLoad(val active: Int, val pendingTokens: Long) {
    public operator fun plus(other: ServerLoad): ServerLoad =
        ServerLoad(active + other.active, pendingTokens + other.pendingTokens)

    public companion object {
        public val NONE: ServerLoad = ServerLoad(0, 0)
    }
}

/**
 * Requests at each server, by a 32-bit hash of the server's id.
 *
 * Two servers with the same hash, which one pair in four billion has, each seem to have the load of both.
 */
@JvmInline
public value class ServerLoads(public val byHash: Map<Int, ServerLoad>) {
    /** The load of the server with the id [server]. */
    public operator fun get(server: String): ServerLoad = byHash[hashOf(server)] ?: ServerLoad.NONE

    public companion object {
        public val NONE: ServerLoads = ServerLoads(emptyMap())
        private const val FNV_OFFSET = 0x811c9dc5.toInt()
        private const val FNV_PRIME = 0x01000193

        public fun of(parts: List<LoadPart>): ServerLoads {
            val byHash = HashMap<Int, ServerLoad>(parts.size * 2)
            for (part in parts) {
                byHash.merge(hashOf(part.server), ServerLoad(part.active, part.pendingTokens), ServerLoad::plus)
            }
            return ServerLoads(byHash)
        }

        /** The sums of [loads]. */
        public fun sum(loads: Iterable<ServerLoads>): ServerLoads {
            val sums = HashMap<Int, ServerLoad>()
            for (part in loads) for ((hash, load) in part.byHash) sums.merge(hash, load, ServerLoad::plus)
            return ServerLoads(sums)
        }

        /** FNV-1a hash of the id, part of the format of packed reports. */
        internal fun hashOf(server: String): Int =
            server.encodeToByteArray().fold(FNV_OFFSET) { hash, byte -> (hash xor (byte.toInt() and 0xff)) * FNV_PRIME }
    }
}
