package org.berylpoint.policy.judgement

/** The share of a class's requests that a new version may get before it is judged. */
public object CanaryShare {
    /** Bound on the share over all entry instances together. */
    public const val MAX_SHARE: Double = 0.05

    // Each request is drawn by itself, so the realised share varies around the mean and the mean stays below the bound.
    private const val MEAN = 0.04

    /**
     * The share to draw by, given how many requests of the class are known to have gone to each version so far: 0
     * while one more would exceed the [MAX_SHARE].
     */
    public fun next(newTotal: Long, oldTotal: Long): Double =
        if (newTotal + 1 > MAX_SHARE * (newTotal + oldTotal + 1)) 0.0 else MEAN
}
