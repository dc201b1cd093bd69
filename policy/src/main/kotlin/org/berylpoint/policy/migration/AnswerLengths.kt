package org.berylpoint.policy.migration

/** Lengths in tokens of the last [capacity] answers of one class, to estimate the rest of an answer in progress. */
public class AnswerLengths(private val capacity: Int = 128) {
    private val recent = ArrayDeque<Int>()

    /** Adds an answer that ended after [tokens] tokens. */
    public fun add(tokens: Int) {
        if (recent.size == capacity) recent.removeFirst()
        recent.addLast(tokens)
    }

    /**
     * Estimates how many tokens will follow in an answer of which [generated] tokens exist, at most [limit] minus
     * [generated]. The estimated total length is the ninetieth percentile of the answers longer than [generated].
     */
    public fun estimateRemainingTokens(generated: Int, limit: Int?): Int {
        val longer = recent.filter { it > generated }.sorted()
        val total = if (longer.isEmpty()) maxOf(MIN_ASSUMED_TOKENS, generated * 2) else longer[longer.size * 9 / 10]
        return ((limit?.let { minOf(it, total) } ?: total) - generated).coerceAtLeast(0)
    }

    private companion object {
        /** Minimum total length assumed while no longer answer is known. */
        const val MIN_ASSUMED_TOKENS = 512
    }
}
