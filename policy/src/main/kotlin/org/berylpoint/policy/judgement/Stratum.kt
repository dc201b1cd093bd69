package org.berylpoint.policy.judgement

import org.berylpoint.model.FailureDomain

/** A group of comparable outcomes: those of one [route] over the link between two failure domains. */
public data class Stratum(val route: String, val from: FailureDomain, val to: FailureDomain) {
    /** The failure domains of the entry instance and of the backend server. */
    public val link: Pair<FailureDomain, FailureDomain> get() = from to to
}

/** Numbers of good and bad outcomes of requests. */
public data class Outcomes(val good: Long, val bad: Long) {
    public val total: Long get() = good + bad

    public operator fun plus(other: Outcomes): Outcomes = Outcomes(good + other.good, bad + other.bad)

    public companion object {
        public val NONE: Outcomes = Outcomes(0, 0)
    }
}

/** Numbers of pairs of a new and an old outcome, by which of the two is bad; in [concordant] pairs both or neither. */
public data class PairCounts(val onlyNewBad: Int, val onlyOldBad: Int, val concordant: Int) {
    public val total: Int get() = onlyNewBad + onlyOldBad + concordant

    public operator fun plus(other: PairCounts): PairCounts =
        PairCounts(onlyNewBad + other.onlyNewBad, onlyOldBad + other.onlyOldBad, concordant + other.concordant)

    public companion object {
        public val NONE: PairCounts = PairCounts(0, 0, 0)
    }
}
