package org.berylpoint.policy.judgement

import kotlin.math.exp
import kotlin.math.ln

/**
 * A sequential sign test whether new outcomes are bad more often than the old outcomes that they are paired with.
 *
 * Only discordant pairs count, in which one outcome is good and the other bad. If both samples have the same rate of
 * bad outcomes, either kind of discordant pair has probability 1/2 whatever that rate is, so an overload that affects
 * both versions has no influence. The alternative is a mixture over larger probabilities, which detects small and large
 * differences.
 *
 * Source: A. Wald, Sequential Analysis, Wiley 1947, chapter 6 (two binomial distributions, by discordant pairs),
 * section 4.1 (weight functions for composite alternatives) and section 3.2 (the bound
 * (1 - missRate) / falseAlarmRate).
 */
public class SequentialSignTest(falseAlarmRate: Double, missRate: Double) {
    private val bound = ln((1 - missRate) / falseAlarmRate)
    private val logRatios = DoubleArray(ALTERNATIVES.size)

    /** Whether the evidence has ever reached the bound; never reset. */
    public var isAlarm: Boolean = false
        private set

    /** Natural logarithm of the likelihood ratio, positive when the evidence is against the new version. */
    public val logRatio: Double get() = logMean(logRatios)

    /** Adds numbers of discordant pairs: only the new outcome bad, only the old outcome bad. */
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

/** Natural logarithm of the mean of numbers that are given by their logarithms; computed without overflow. */
internal fun logMean(logs: DoubleArray): Double {
    val max = logs.max()
    return max + ln(logs.sumOf { exp(it - max) } / logs.size)
}
