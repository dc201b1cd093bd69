package org.berylpoint.entry.stream

/**
 * Restores the order of the chunks of one attempt. Duplicates and chunks of other answers are dropped; chunks that
 * arrive early are buffered until all earlier ones have arrived.
 */
internal class ChunkReorderBuffer(private val attempt: String) {
    private var nextPosition = 0
    private var id: String? = null
    private val buffered = ArrayList<ChatChunk>()
    private val withoutPosition = ArrayList<ChatChunk>()
    private var isArrivalOrder = false

    /** Whether buffered chunks wait for an earlier one. */
    val hasGap: Boolean get() = buffered.isNotEmpty()

    /** Whether more chunks are buffered than reordering in an engine can explain. */
    val isLimitExceeded: Boolean get() = buffered.size > MAX_BUFFERED

    /** Adds [chunk] and returns the chunks that are now in order. */
    fun accept(chunk: ChatChunk): List<ChatChunk> {
        if (chunk.attempt != null && chunk.attempt != attempt) return emptyList()
        if (id == null) id = chunk.id
        if (chunk.id != id) return emptyList()
        if (isArrivalOrder) return listOf(chunk)
        if (chunk.positions == null) withoutPosition += chunk else buffered += chunk
        if (isLimitExceeded && buffered.all { it.isPositionEstimated }) return switchToArrivalOrder()
        val ready = generateSequence(::takeNext).toList()
        // A chunk without a position, such as the one with the finish reason, must not overtake a missing chunk.
        return if (hasGap) ready else ready + withoutPosition.toList().also { withoutPosition.clear() }
    }

    // The apparently missing chunk does not exist: the engine counts several tokens for one chunk. The order of arrival
    // is then correct, because the connection preserves it.
    private fun switchToArrivalOrder(): List<ChatChunk> {
        isArrivalOrder = true
        return (buffered + withoutPosition).also {
            buffered.clear()
            withoutPosition.clear()
        }
    }

    private fun takeNext(): ChatChunk? {
        buffered.removeAll { isPassed(it.positions!!) }
        val candidates = buffered.filter { it.positions!!.first == nextPosition }
        val ready = candidates.minByOrNull { it.positions!!.last } ?: return null
        buffered -= ready
        nextPosition = maxOf(nextPosition, ready.positions!!.last + 1)
        return ready
    }

    // A chunk that overlaps positions already returned can't be split, because its text has no token boundaries. It is
    // dropped; the resulting gap ends the attempt, and a resume generates the missing text.
    private fun isPassed(positions: IntRange) = positions.first < nextPosition

    private companion object {
        const val MAX_BUFFERED = 16
    }
}
