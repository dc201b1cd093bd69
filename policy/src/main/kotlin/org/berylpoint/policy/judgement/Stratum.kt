package org.berylpoint.policy.judgement

import org.berylpoint.model.FailureDomain

/** Where outcomes can be compared: the same route over the same link. */
public data class Stratum(val route: String, val from: FailureDomain, val to: FailureDomain) {
    /** The pair of failure domains. */
    public val link: Pair<FailureDomain, FailureDomain> get() = from to to
}

/** Outcomes counted since the last look. */
public data class Outcomes(val good: Long, val bad: Long) {
    public val total: Long get() = good + bad

    public operator fun plus(other: Outcomes): Outcomes = Outcomes(good + other.good, bad + other.bad)

    public companion object {
        public val NONE: Outcomes = Outcomes(0, 0)
    }
}

/** PairCounts of a new and an old outcome, by which of them was bad. */
public data class PairCounts(val onlyNewBad: Int, val onlyOldBad: Int, val concordant: Int) {
    public val total: Int get() = onlyNewBad + onlyOldBad + concordant

    public operator fun plus(other: PairCounts): PairCounts =
        PairCounts(onlyNewBad + other.onlyNewBad, onlyOldBad + other.onlyOldBad, concordant + other.concordant)

    public companion object {
        public val NONE: PairCounts = PairCounts(0, 0, 0)
    }
}
