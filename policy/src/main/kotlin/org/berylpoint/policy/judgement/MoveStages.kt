package org.berylpoint.policy.judgement

import kotlin.math.ceil

/**
 * The share of a new version after it was judged good at the canary share: stages to almost all traffic, each with a
 * judgement of its own, since some faults show only under load.
 *
 * The old version keeps a small share up to the end of the move, so that a later fault can still be compared.
 */
public class MoveStages(private val shares: List<Double> = listOf(0.25, 0.5, 0.95), private val minMillis: Long) {
    /** Time that the stages take when each judgement is made at once. */
    public val totalMillis: Long get() = minMillis * shares.size

    /** The share in [stage], counted from 0. */
    public fun share(stage: Int): Double = shares[stage.coerceIn(shares.indices)]

    /** Whether [stage] is the last one. */
    public fun isLast(stage: Int): Boolean = stage >= shares.lastIndex

    /** Whether a stage that began [inStageMillis] ago with a good finding may end. */
    public fun mayAdvance(inStageMillis: Long): Boolean = inStageMillis >= minMillis

    /**
     * The stage that must be reached at the latest, given the time to the set end of the move; -1 while there is time.
     * Without it a class with few requests would not be moved in time for lack of evidence.
     */
    public fun latest(leftMillis: Long): Int {
        if (leftMillis >= totalMillis) return -1
        val stagesLeft = ceil(leftMillis.coerceAtLeast(0).toDouble() / minMillis).toInt()
        return shares.size - stagesLeft
    }
}
