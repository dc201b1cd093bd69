package org.berylpoint.policy.performance

/** The requests that a service got lately: their prompt tokens to prefill and the targets that they have. */
internal class PromptMix {
    private val tokens = DoubleArray(CAPACITY)
    private val targets = DoubleArray(CAPACITY)
    private var count = 0L

    val size: Int get() = minOf(count, CAPACITY.toLong()).toInt()

    fun add(promptTokens: Long, targetMillis: Long) {
        val index = (count++ % CAPACITY).toInt()
        tokens[index] = promptTokens.toDouble()
        targets[index] = targetMillis.toDouble()
    }

    /**
     * Mean prompt tokens that a request finds still to be prefilled of the prompt in progress: E[S^2] / 2 E[S], which
     * is more than half of the mean where prompts differ in length.
     */
    fun residualTokens(): Double {
        val sum = (0 until size).sumOf { tokens[it] }
        return if (sum == 0.0) 0.0 else (0 until size).sumOf { tokens[it] * tokens[it] } / sum / 2
    }

    /** The target that a quarter of the requests do not exceed. */
    fun strictTargetMillis(): Double = targets.take(size).sorted()[size / STRICT_DIVISOR]

    private companion object {
        const val CAPACITY = 256
        const val STRICT_DIVISOR = 4
    }
}
