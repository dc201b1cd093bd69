package org.berylpoint.policy.judgement

/** Maximum error rates of the comparison of two versions, and the differences that it must detect. */
public data class ErrorRates(
    /** Probability of rejecting a version that is no worse than the old one. */
    val falseAlarmRate: Double = 0.01,
    /** Probability of accepting a version that is worse by [margin] or more. */
    val missRate: Double = 0.05,
    /** Difference between the rates of bad outcomes, over all routes, that must be detected. */
    val margin: Double = 0.10,
    /** The same for a single route; larger, because one route yields less evidence. */
    val routeMargin: Double = 0.30,
)
