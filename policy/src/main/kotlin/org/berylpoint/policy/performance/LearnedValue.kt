package org.berylpoint.policy.performance

import kotlin.math.roundToInt

/**
 * A value of one server or service as an instance reports it: the [key] of what it describes, the [level] of the value
 * on a logarithmic scale and the [weight] of the evidence, in observations. Each of the last two is 0 to 255.
 */
public data class LearnedValue(val key: Int, val level: Int, val weight: Int) {
    internal val log2: Double get() = (level - ZERO_LEVEL) / LEVELS_PER_DOUBLING

    internal companion object {
        /** Levels in one doubling: neighbouring levels differ by 4.4%. */
        const val LEVELS_PER_DOUBLING = 16.0
        const val ZERO_LEVEL = 128
        const val MAX_BYTE = 255

        fun of(key: Int, log2: Double, weight: Int) = LearnedValue(
            key,
            (log2 * LEVELS_PER_DOUBLING + ZERO_LEVEL).roundToInt().coerceIn(0, MAX_BYTE),
            weight.coerceIn(1, MAX_BYTE),
        )
    }
}
