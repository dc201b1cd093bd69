package org.berylpoint.policy.judgement

import kotlin.math.ceil

/**
 * Shares of traffic that a new version gets in the stages after the canary stage, up to almost all traffic. Each stage
 * has a comparison of its own, because some faults appear only under load.
 *
 * The old version keeps a small share until the end of the move, so that a late fault can still be detected by
 * comparison.
 */
public class MoveStages(private val shares: List<Double> = listOf(0.25, 0.5, 0.95), private val minStageMillis: Long) {
    /** The share in [stage], counted from 0; stages out of range are coerced into it. */
    public fun share(stage: Int): Double = shares[stage.coerceIn(shares.indices)]

    /** Whether [stage] is the last one. */
    public fun isLast(stage: Int): Boolean = stage >= shares.lastIndex

    /** Whether a stage that began [elapsedMillis] ago, and whose finding is good, has lasted long enough to end. */
    public fun mayAdvance(elapsedMillis: Long): Boolean = elapsedMillis >= minStageMillis

    /**
     * Duration of one stage when a move with a total time of [windowMillis] is behind schedule: all stages together get
     * a quarter of it, so that faults that appear only under load have time to show.
     */
    public fun expeditedStageMillis(windowMillis: Long): Long =
        maxOf(minStageMillis, windowMillis / (EXPEDITED_WINDOW_DIVISOR * shares.size))

    /**
     * The lowest stage that the move must have reached when [remainingMillis] are left until its deadline: -1 while all
     * stages still fit in, and the number of stages once the move must be complete. Without it, a class with few
     * requests would miss the deadline for lack of evidence.
     */
    public fun requiredStage(remainingMillis: Long, expeditedStageMillis: Long): Int {
        if (remainingMillis >= expeditedStageMillis * shares.size) return -1
        val stagesLeft = ceil(remainingMillis.coerceAtLeast(0).toDouble() / expeditedStageMillis).toInt()
        return shares.size - stagesLeft
    }

    private companion object {
        const val EXPEDITED_WINDOW_DIVISOR = 4
    }
}
