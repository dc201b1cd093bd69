package org.berylpoint.policy.judgement

import kotlin.math.exp
import kotlin.math.ln

/**
 * A sequential test whether new outcomes are bad more often than old ones that they are paired with.
 *
 * Only discordant pairs count, where one outcome is good and the other bad. If both samples have the same rate, each
 * kind of discordant pair has probability 1/2 whatever that rate is, so an overload that hits both does not matter.
 * The alternative is a mixture over larger probabilities, which detects small and large differences alike.
 *
 * Source: A. Wald, Sequential Analysis, Wiley 1947, chapter 6 (two binomial distributions, by discordant pairs),
 * section 4.1 (weight functions for composite alternatives) and section 3.2 (the bound (1 - missRate) / falseAlarmRate).
 */
public class SequentialSignTest(falseAlarmRate: Double, missRate: Double) {
    private val bound = ln((1 - missRate) / falseAlarmRate)
    private val logRatios = DoubleArray(ALTERNATIVES.size)

    /** Whether the bound was reached; stays so. */
    public var isAlarm: Boolean = false
        private set

    /** Logarithm of the likelihood ratio, positive when the evidence speaks against the new version. */
    public val logRatio: Double get() = logMean(logRatios)

    /** Counts discordant pairs. */
    public fun add(onlyNewBad: Int, onlyOldBad: Int) {
        for ((i, p) in ALTERNATIVES.withIndex()) {
            logRatios[i] += onlyNewBad * ln(2 * p) + onlyOldBad * ln(2 * (1 - p))
        }
        if (logRatio >= bound) isAlarm = true
    }

    private companion object {
        val ALTERNATIVES = doubleArrayOf(0.55, 0.6, 0.65, 0.7, 0.75, 0.8, 0.85, 0.9, 0.95, 0.99)
    }
}

/** Logarithm of the mean of numbers given by their logarithms. */
internal fun logMean(logs: DoubleArray): Double {
    val top = logs.max()
    return top + ln(logs.sumOf { exp(it - top) } / logs.size)
}
