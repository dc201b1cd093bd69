package org.berylpoint.entry.gateway.server

import java.util.concurrent.atomic.AtomicLong

/**
 * The memory for response bytes that wait for their callers, shared by all requests in progress.
 *
 * A response may hold as much as is left free for all others. So a few servers that send without end get a small part
 * each, and an ordinary response always finds room.
 */
internal class ResponseMemory(private val capacityBytes: Long = CAPACITY_BYTES) {
    private val used = AtomicLong()

    /** The bytes that one response holds, until [close]. Used by several threads. */
    inner class Account : AutoCloseable {
        private var held = 0L
        private var isClosed = false

        /** Records that the response holds [bytes] more. */
        @Synchronized
        fun take(bytes: Int) {
            if (isClosed) return
            held += bytes
            used.addAndGet(bytes.toLong())
        }

        @Synchronized
        fun giveBack(bytes: Int) {
            if (isClosed) return
            held -= bytes
            used.addAndGet(-bytes.toLong())
        }

        /** Whether the response holds more than [limitBytes], or more than is left for all others. */
        @Synchronized
        fun isOver(limitBytes: Long): Boolean = held > minOf(limitBytes, capacityBytes - used.get()).coerceAtLeast(0)

        @Synchronized
        override fun close() {
            isClosed = true
            used.addAndGet(-held)
            held = 0
        }
    }

    private companion object {
        const val CAPACITY_BYTES = 16_777_216L
    }
}
