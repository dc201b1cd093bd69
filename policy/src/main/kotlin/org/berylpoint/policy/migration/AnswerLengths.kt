package org.berylpoint.policy.migration

/** Token counts of the last answers of one class; estimates how many tokens of a running answer are to come. */
public class AnswerLengths(private val capacity: Int = 128) {
    private val recent = ArrayDeque<Int>()

    /** Notes an answer that ended after [tokens]. */
    public fun add(tokens: Int) {
        if (recent.size == capacity) recent.removeFirst()
        recent.addLast(tokens)
    }

    /**
     * Tokens that an answer with [generated] tokens has to come, at most [limit] - [generated]: by the ninetieth
     * percentile of the answers that were longer than this one is so far.
     */
    public fun estimateRemainingTokens(generated: Int, limit: Int?): Int {
        val longer = recent.filter { it > generated }.sorted()
        val end = if (longer.isEmpty()) maxOf(DEFAULT_LENGTH, generated * 2) else longer[longer.size * 9 / 10]
        return ((limit?.let { minOf(it, end) } ?: end) - generated).coerceAtLeast(0)
    }

    private companion object {
        /** Length assumed while no longer answer is known. */
        const val DEFAULT_LENGTH = 512
    }
}
