package org.berylpoint.policy.judgement

/** The stated error rates of a judgement. */
public data class ErrorRates(
    /** Probability that a version no worse than the old one is called bad. */
    val falseAlarmRate: Double = 0.01,
    /** Probability that a version worse by [margin] or more is called good. */
    val missRate: Double = 0.05,
    /** Difference in the rate of bad outcomes that must not be missed. */
    val margin: Double = 0.10,
    /** The same on one route of several, which gets less evidence. */
    val routeMargin: Double = 0.30,
)
