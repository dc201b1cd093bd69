package org.berylpoint.policy.judgement

import kotlin.math.ln

/**
 * A sequential test whether a version may be accepted: rejects that its rate of bad outcomes is higher by the margin.
 *
 * Each pair of a new and an old outcome has a difference d of -1, 0 or 1. While the mean of d is the margin or more,
 * the product of 1 - s (d - margin) is a supermartingale for each stake s, and so is the mean over several stakes; it
 * exceeds 1 / missRate with probability at most missRate.
 *
 * Source: the bound is J. Ville, Etude critique de la notion de collectif, 1939, on the test of I. Waudby-Smith and
 * A. Ramdas, Estimating means of bounded random variables by betting, JRSS B 86 (2024), section 4. Wald's ratio for
 * two binomials stands still without bad outcomes and so would never accept a version without faults.
 */
public class SequentialNonInferiorityTest(missRate: Double, private val margin: Double) {
    private val bound = ln(1 / missRate)
    private val logWealths = DoubleArray(STAKES.size)

    /** Whether the bound was reached; stays so. */
    public var isAccepted: Boolean = false
        private set

    /** Share of the way to acceptance, negative when the evidence speaks against the version. */
    public val progress: Double get() = logMean(logWealths) / bound

    /** Counts pairs by their difference: new one bad, old one bad, both concordant. */
    public fun add(onlyNewBad: Int, onlyOldBad: Int, concordant: Int) {
        for ((i, s) in STAKES.withIndex()) {
            logWealths[i] += onlyNewBad * ln(1 - s * (1 - margin)) +
                onlyOldBad * ln(1 + s * (1 + margin)) +
                concordant * ln(1 + s * margin)
        }
        if (logMean(logWealths) >= bound) isAccepted = true
    }

    private companion object {
        // High stakes accept faultless versions soon, low ones also versions that share many faults with the old one.
        val STAKES = doubleArrayOf(0.06, 0.12, 0.25, 0.5, 0.9)
    }
}
