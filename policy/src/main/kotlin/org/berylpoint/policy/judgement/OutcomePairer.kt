package org.berylpoint.policy.judgement

import kotlin.random.Random

/**
 * PairCounts new and old outcomes of one stratum at random, each used once and only with others of the same time.
 *
 * Outcomes without a partner are dropped after [windowMillis], so that a change of conditions is not held against
 * one side.
 */
public class OutcomePairer(private val random: Random, private val windowMillis: Long = 10_000) {
    private class Kept(val atMillis: Long, var good: Long, var bad: Long)

    private val new = ArrayDeque<Kept>()
    private val old = ArrayDeque<Kept>()

    /** Takes in outcomes and gives the pairs that they make with earlier ones. */
    public fun add(newOutcomes: Outcomes, oldOutcomes: Outcomes, nowMillis: Long): PairCounts {
        keep(new, newOutcomes, nowMillis)
        keep(old, oldOutcomes, nowMillis)
        var onlyNewBad = 0
        var onlyOldBad = 0
        var concordant = 0
        while (new.isNotEmpty() && old.isNotEmpty()) {
            val a = draw(new)
            val b = draw(old)
            if (a == b) {
                concordant++
            } else if (a) {
                onlyNewBad++
            } else {
                onlyOldBad++
            }
        }
        return PairCounts(onlyNewBad, onlyOldBad, concordant)
    }

    private fun keep(side: ArrayDeque<Kept>, outcomes: Outcomes, nowMillis: Long) {
        if (outcomes.total > 0) side.addLast(Kept(nowMillis, outcomes.good, outcomes.bad))
        while (side.isNotEmpty() && nowMillis - side.first().atMillis > windowMillis) side.removeFirst()
    }

    /** Draws one of the newest outcomes; true for a bad one. */
    private fun draw(side: ArrayDeque<Kept>): Boolean {
        val kept = side.last()
        val isBad = random.nextLong(kept.good + kept.bad) < kept.bad
        if (isBad) kept.bad-- else kept.good--
        if (kept.good + kept.bad == 0L) side.removeLast()
        return isBad
    }
}
