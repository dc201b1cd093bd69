package org.berylpoint.policy.rollout

import org.berylpoint.model.serving.RolloutState
import kotlin.math.sqrt

/** Outcomes of one version over all instances since its rollout was ordered. */
public data class VersionCounts(val good: Long, val bad: Long) {
    val total: Long get() = good + bad

    /** Bad outcomes as a fraction of all outcomes; 0 if there are none. */
    val badRate: Double get() = if (total == 0L) 0.0 else bad.toDouble() / total
}

/** Numbers of responses of one version whose time is known, and of the [slow] ones among them. */
public data class TimingCounts(val timed: Long, val slow: Long) {
    /** Slow responses as a fraction; 0 if none is timed. */
    val slowRate: Double get() = if (timed == 0L) 0.0 else slow.toDouble() / timed

    public companion object {
        public val NONE: TimingCounts = TimingCounts(0, 0)
    }
}

/** The share of traffic that a version gets in its rollout, as a fraction, and the state of the rollout. */
public data class RolloutStep(val share: Double, val state: RolloutState)

/**
 * Decides how the rollout of a new version continues, by comparing its outcomes and response times with the old
 * version's.
 *
 * The new version starts with a small share of the traffic, which grows in steps once enough outcomes are known. It is
 * rolled back when its rate of bad outcomes, or of slow responses, is clearly higher than the old version's. While more
 * of its responses are slow, but too few are known to be sure, its share is the first one.
 */
public object RolloutPolicy {
    /** The step at [elapsedMillis] after the order of a rollout that is to take [durationMillis]. */
    public fun nextStep(
        new: VersionCounts,
        old: VersionCounts,
        elapsedMillis: Long,
        durationMillis: Long,
        newTimings: TimingCounts = TimingCounts.NONE,
        oldTimings: TimingCounts = TimingCounts.NONE,
    ): RolloutStep {
        if (isWorse(new, old) || isSlower(newTimings, oldTimings)) return RolloutStep(0.0, RolloutState.ROLLED_BACK)
        val progress = elapsedMillis.toDouble() / durationMillis
        return when {
            new.total < MIN_OUTCOMES ||
                isPossiblySlower(
                    newTimings,
                    oldTimings,
                ) -> RolloutStep(CANARY_SHARE, RolloutState.RUNNING)
            progress < CANARY_END -> RolloutStep(CANARY_SHARE, RolloutState.RUNNING)
            progress < PARTIAL_END -> RolloutStep(PARTIAL_SHARE, RolloutState.RUNNING)
            progress < MAJORITY_END || new.total < MIN_OUTCOMES_TO_COMPLETE ->
                RolloutStep(MAJORITY_SHARE, RolloutState.RUNNING)
            else -> RolloutStep(1.0, RolloutState.COMPLETED)
        }
    }

    private fun isWorse(new: VersionCounts, old: VersionCounts): Boolean =
        new.bad >= MIN_BAD_OUTCOMES && new.badRate > old.badRate * BAD_RATE_FACTOR + BAD_RATE_MARGIN

    private fun isSlower(new: TimingCounts, old: TimingCounts): Boolean {
        if (new.timed < MIN_TIMED || old.timed < MIN_TIMED) return false
        return new.slowRate - old.slowRate > SLOW_RATE_MARGIN + MIN_STANDARD_ERRORS * standardError(new, old)
    }

    private fun isPossiblySlower(new: TimingCounts, old: TimingCounts): Boolean =
        new.timed < MAX_UNSURE_TIMED && new.slowRate - old.slowRate > SLOW_RATE_MARGIN

    /** Standard error of the difference of both rates, if there is none. */
    private fun standardError(new: TimingCounts, old: TimingCounts): Double {
        val rate = (new.slow + old.slow).toDouble() / (new.timed + old.timed)
        return sqrt(rate * (1 - rate) * (1.0 / new.timed + 1.0 / old.timed))
    }

    private const val CANARY_SHARE = 0.05
    private const val PARTIAL_SHARE = 0.3
    private const val MAJORITY_SHARE = 0.9

    // Ends of the steps as fractions of the rollout's duration.
    private const val CANARY_END = 0.35
    private const val PARTIAL_END = 0.6
    private const val MAJORITY_END = 0.8

    private const val MIN_OUTCOMES = 20L
    private const val MIN_OUTCOMES_TO_COMPLETE = 60L
    private const val MIN_BAD_OUTCOMES = 5L
    private const val BAD_RATE_FACTOR = 1.5
    private const val BAD_RATE_MARGIN = 0.08

    private const val MIN_TIMED = 10L

    /** Difference of the rates of slow responses that is tolerated, since new servers may be slow at first. */
    private const val SLOW_RATE_MARGIN = 0.1
    private const val MIN_STANDARD_ERRORS = 2.5

    /** Timed responses after which a difference that is not clear is taken for chance. */
    private const val MAX_UNSURE_TIMED = 200L
}
