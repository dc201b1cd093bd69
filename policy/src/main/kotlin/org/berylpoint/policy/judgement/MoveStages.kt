package org.berylpoint.policy.judgement

import kotlin.math.ceil

/**
 * The share of a new version after it was judged good at the canary share: stages to almost all traffic, each with a
 * judgement of its own, since some faults show only under load.
 *
 * The old version keeps a small share up to the end of the move, so that a later fault can still be compared.
 */
public class MoveStages(private val shares: List<Double> = listOf(0.25, 0.5, 0.95), private val minStageMillis: Long) {
    /** The share in [stage], counted from 0. */
    public fun share(stage: Int): Double = shares[stage.coerceIn(shares.indices)]

    /** Whether [stage] is the last one. */
    public fun isLast(stage: Int): Boolean = stage >= shares.lastIndex

    /** Whether a stage that began [inStageMillis] ago with a good finding may end. */
    public fun mayAdvance(inStageMillis: Long): Boolean = inStageMillis >= minStageMillis

    /**
     * Time that one stage may take when the set time presses, for a move that has [windowMillis]: a quarter of it for
     * all stages, so that faults which show only under load have time to show.
     */
    public fun expeditedStageMillis(windowMillis: Long): Long = maxOf(minStageMillis, windowMillis / (HURRY_PART * shares.size))

    /**
     * The stage that must be reached at the latest, given the time to the set end of the move and the time for one
     * stage; -1 while there is time. Without it a class with few requests would not be moved in time for lack of
     * evidence.
     */
    public fun requiredStage(leftMillis: Long, expeditedStageMillis: Long): Int {
        if (leftMillis >= expeditedStageMillis * shares.size) return -1
        val stagesLeft = ceil(leftMillis.coerceAtLeast(0).toDouble() / expeditedStageMillis).toInt()
        return shares.size - stagesLeft
    }

    private companion object {
        const val HURRY_PART = 4
    }
}
