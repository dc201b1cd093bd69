package org.berylpoint.peer

import java.nio.ByteBuffer

/**
 * What the sender of a report has learned of a server or a service: the hash of which one ([key]), the quantised value
 * ([level]) and the [weight] of its evidence, each of the last two 0 to 255.
 */
public data class SpeedPart(val key: Int, val level: Int, val weight: Int) {
    public companion object {
        /** Bytes of one part: four of the key, one each of level and weight. */
        public const val BYTES: Int = 6

        /** The bytes of [parts], in their order; null for none. */
        public fun encode(parts: List<SpeedPart>): ByteArray? {
            if (parts.isEmpty()) return null
            val buffer = ByteBuffer.allocate(parts.size * BYTES)
            for (part in parts) buffer.putInt(part.key).put(part.level.toByte()).put(part.weight.toByte())
            return buffer.array()
        }

        /** The parts in [bytes]; none if these are not a whole number of parts. */
        public fun decode(bytes: ByteArray?): List<SpeedPart> {
            if (bytes == null || bytes.size % BYTES != 0) return emptyList()
            val buffer = ByteBuffer.wrap(bytes)
            return List(bytes.size / BYTES) { SpeedPart(buffer.getInt(), buffer.nextByte(), buffer.nextByte()) }
        }

        private fun ByteBuffer.nextByte() = get().toInt() and BYTE_MASK

        private const val BYTE_MASK = 0xff
    }
}
