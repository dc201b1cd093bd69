package org.berylpoint.policy.judgement

/** The share of a class's requests that a new version gets in the canary stage, before the first finding on it. */
public object CanaryShare {
    /** Upper bound of the share, over the requests of all entry instances together. */
    public const val MAX_SHARE: Double = 0.05

    // Requests are drawn independently, so the realised share varies around the target; the target is therefore lower
    // than MAX_SHARE.
    private const val TARGET_SHARE = 0.04

    /**
     * Probability with which the next request goes to the new version, given the known numbers of requests of the class
     * that each version has had so far; 0 while one more would exceed [MAX_SHARE].
     */
    public fun next(newTotal: Long, oldTotal: Long): Double =
        if (newTotal + 1 > MAX_SHARE * (newTotal + oldTotal + 1)) 0.0 else TARGET_SHARE
}
