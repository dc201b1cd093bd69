package org.berylpoint.policy.judgement

import kotlin.math.ln

/**
 * A sequential non-inferiority test: it accepts a version by rejecting the hypothesis that the version's rate of bad
 * outcomes exceeds the old version's by [margin] or more.
 *
 * Each pair of a new and an old outcome has a difference d of -1, 0 or 1, which is 1 if only the new outcome is bad.
 * Under the hypothesis the mean of d is at least the margin. Then the product of 1 - s (d - margin) is a
 * supermartingale for each stake s, and so is the mean over several stakes; it ever exceeds 1 / missRate with a
 * probability of at most missRate.
 *
 * Source: the bound is J. Ville, Etude critique de la notion de collectif, 1939, on the test of I. Waudby-Smith and
 * A. Ramdas, Estimating means of bounded random variables by betting, JRSS B 86 (2024), section 4. Wald's likelihood
 * ratio for two binomials is not used: it does not change without bad outcomes, so it would never accept a faultless
 * version.
 */
public class SequentialNonInferiorityTest(missRate: Double, private val margin: Double) {
    private val bound = ln(1 / missRate)
    private val logWealths = DoubleArray(STAKES.size)

    /** Whether the evidence has ever reached the bound; never reset. */
    public var isAccepted: Boolean = false
        private set

    /** Log wealth as a fraction of the bound: 1 at acceptance, negative when the evidence is against the version. */
    public val progress: Double get() = logMean(logWealths) / bound

    /** Adds numbers of pairs: only the new outcome bad, only the old outcome bad, both equal. */
    public fun add(onlyNewBad: Int, onlyOldBad: Int, concordant: Int) {
        for ((i, s) in STAKES.withIndex()) {
            logWealths[i] += onlyNewBad * ln(1 - s * (1 - margin)) +
                onlyOldBad * ln(1 + s * (1 + margin)) +
                concordant * ln(1 + s * margin)
        }
        if (logMean(logWealths) >= bound) isAccepted = true
    }

    private companion object {
        // High stakes accept a faultless version early; low stakes also accept a version that, like the old one, has
        // many bad outcomes.
        val STAKES = doubleArrayOf(0.06, 0.12, 0.25, 0.5, 0.9)
    }
}
