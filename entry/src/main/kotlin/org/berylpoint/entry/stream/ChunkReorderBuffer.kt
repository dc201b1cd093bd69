package org.berylpoint.entry.stream

/**
 * Puts the chunks of one attempt in order: each position once, duplicates and chunks of other answers dropped, early
 * ones held until those before them have come.
 */
internal class ChunkReorderBuffer(private val attempt: String) {
    private var next = 0
    private var id: String? = null
    private val held = ArrayList<ChatChunk>()
    private val unplaced = ArrayList<ChatChunk>()
    private var isByArrival = false

    /** Whether chunks wait for an earlier one. */
    val hasGap: Boolean get() = held.isNotEmpty()

    /** Whether more chunks are held than an engine's reordering explains. */
    val isLimitExceeded: Boolean get() = held.size > MAX_HELD

    /** Takes in [chunk] and gives the chunks that are now in order. */
    fun accept(chunk: ChatChunk): List<ChatChunk> {
        if (chunk.attempt != null && chunk.attempt != attempt) return emptyList()
        if (id == null) id = chunk.id
        if (chunk.id != id) return emptyList()
        if (isByArrival) return listOf(chunk)
        if (chunk.positions == null) unplaced += chunk else held += chunk
        if (isLimitExceeded && held.all { it.isPositionEstimated }) return goByArrival()
        val ready = generateSequence(::takeNext).toList()
        // A chunk without a position, such as the one with the finish reason, must not overtake one that is missing.
        return if (hasGap) ready else ready + unplaced.toList().also { unplaced.clear() }
    }

    // The chunk that seems to be missing does not exist: the engine counts several tokens for one chunk. The order of
    // arrival is right then, because the connection keeps it.
    private fun goByArrival(): List<ChatChunk> {
        isByArrival = true
        return (held + unplaced).also {
            held.clear()
            unplaced.clear()
        }
    }

    private fun takeNext(): ChatChunk? {
        held.removeAll { isBehind(it.positions!!) }
        val ready = held.filter { it.positions!!.first == next }.minByOrNull { it.positions!!.last } ?: return null
        held -= ready
        next = maxOf(next, ready.positions!!.last + 1)
        return ready
    }

    // A chunk that overlaps what was passed on can't be cut, because its tokens are not told apart in its text. It is
    // dropped; the gap that it leaves ends the attempt, and a resume fills it.
    private fun isBehind(positions: IntRange) = positions.first < next

    private companion object {
        const val MAX_HELD = 16
    }
}
