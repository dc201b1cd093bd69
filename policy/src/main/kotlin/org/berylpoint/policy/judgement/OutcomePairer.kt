package org.berylpoint.policy.judgement

import kotlin.random.Random

/**
 * Pairs new and old outcomes of one stratum at random. Each outcome is used at most once.
 *
 * Outcomes that have found no partner after [windowMillis] are dropped: only outcomes of about the same time are
 * paired, so that a change of conditions does not count against one of the versions.
 */
public class OutcomePairer(private val random: Random, private val windowMillis: Long = 10_000) {
    private class Batch(val atMillis: Long, var good: Long, var bad: Long)

    private val unpairedNew = ArrayDeque<Batch>()
    private val unpairedOld = ArrayDeque<Batch>()

    /** Adds outcomes and returns the pairs that they form, with each other and with earlier unpaired ones. */
    public fun add(newOutcomes: Outcomes, oldOutcomes: Outcomes, nowMillis: Long): PairCounts {
        enqueue(unpairedNew, newOutcomes, nowMillis)
        enqueue(unpairedOld, oldOutcomes, nowMillis)
        var onlyNewBad = 0
        var onlyOldBad = 0
        var concordant = 0
        while (unpairedNew.isNotEmpty() && unpairedOld.isNotEmpty()) {
            val isNewBad = drawIsBad(unpairedNew)
            val isOldBad = drawIsBad(unpairedOld)
            if (isNewBad == isOldBad) {
                concordant++
            } else if (isNewBad) {
                onlyNewBad++
            } else {
                onlyOldBad++
            }
        }
        return PairCounts(onlyNewBad, onlyOldBad, concordant)
    }

    private fun enqueue(batches: ArrayDeque<Batch>, outcomes: Outcomes, nowMillis: Long) {
        if (outcomes.total > 0) batches.addLast(Batch(nowMillis, outcomes.good, outcomes.bad))
        while (batches.isNotEmpty() && nowMillis - batches.first().atMillis > windowMillis) batches.removeFirst()
    }

    /** Draws and removes a random outcome of the newest batch; returns whether it is bad. */
    private fun drawIsBad(batches: ArrayDeque<Batch>): Boolean {
        val batch = batches.last()
        val isBad = random.nextLong(batch.good + batch.bad) < batch.bad
        if (isBad) batch.bad-- else batch.good--
        if (batch.good + batch.bad == 0L) batches.removeLast()
        return isBad
    }
}
