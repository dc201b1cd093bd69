package org.berylpoint.policy.rollout

import org.berylpoint.model.serving.RolloutState

/** Outcomes of one version, counted over all instances since the order. */
public data class VersionCounts(val good: Long, val bad: Long) {
    val total: Long get() = good + bad

    /** Share of bad outcomes. */
    val badShare: Double get() = if (total == 0L) 0.0 else bad.toDouble() / total
}

/** What to do about a version that is being rolled out: the share of traffic it gets, and its state. */
public data class RolloutStep(val share: Double, val state: RolloutState)

/**
 * Decides how a new version goes on, from its outcomes beside the old version's.
 *
 * It first gets a small share. It is rolled back when clearly more of its outcomes are bad than of the old version's,
 * and gets more traffic in steps when enough of them were good.
 */
public object RolloutPolicy {
    /** The step after [elapsedMillis] of [durationMillis] since the order. */
    public fun nextStep(new: VersionCounts, old: VersionCounts, elapsedMillis: Long, durationMillis: Long): RolloutStep {
        if (isBad(new, old)) return RolloutStep(0.0, RolloutState.ROLLED_BACK)
        val progress = elapsedMillis.toDouble() / durationMillis
        return when {
            new.total < MIN_JUDGED -> RolloutStep(CANARY, RolloutState.RUNNING)
            progress < FIRST_PART -> RolloutStep(CANARY, RolloutState.RUNNING)
            progress < SECOND_PART -> RolloutStep(HALF, RolloutState.RUNNING)
            progress < LAST_PART || new.total < MIN_COMPLETED -> RolloutStep(MOST, RolloutState.RUNNING)
            else -> RolloutStep(1.0, RolloutState.COMPLETED)
        }
    }

    private fun isBad(new: VersionCounts, old: VersionCounts): Boolean =
        new.bad >= MIN_BAD && new.badShare > old.badShare * BAD_FACTOR + BAD_MARGIN

    private const val CANARY = 0.05
    private const val HALF = 0.3
    private const val MOST = 0.9
    private const val FIRST_PART = 0.35
    private const val SECOND_PART = 0.6
    private const val LAST_PART = 0.8
    private const val MIN_JUDGED = 20L
    private const val MIN_COMPLETED = 60L
    private const val MIN_BAD = 5L
    private const val BAD_FACTOR = 1.5
    private const val BAD_MARGIN = 0.08
}
