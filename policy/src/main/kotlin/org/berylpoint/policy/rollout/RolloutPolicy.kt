package org.berylpoint.policy.rollout

import org.berylpoint.model.serving.RolloutState

/**
 * What is to happen next in a rollout: [share] of the traffic that the new version gets, as a fraction, and the state
 * of the rollout. [handoverInMillis] is when the version gets all traffic unless something speaks against it; null if
 * that has begun or isn't planned.
 */
public data class RolloutStep(val share: Double, val state: RolloutState, val handoverInMillis: Long? = null)

/** Where a rollout stands in its time. */
public data class RolloutSchedule(
    val elapsedMillis: Long,
    val durationMillis: Long,
    /** Time since the new version began to get all traffic; null before. */
    val handoverMillis: Long?,
    /** Time until all instances know of a handover and what they sent before has mostly ended. */
    val minHandoverMillis: Long,
    /** Time that writing the end of the rollout may take. */
    val writeMillis: Long,
) {
    val remainingMillis: Long get() = durationMillis - elapsedMillis
}

/**
 * Decides how the rollout of a new version continues.
 *
 * The version gets a small share until shortly before its time is over, since it may turn bad at any moment. Then it
 * gets all traffic, for as long as the bounds on its requests allow and while it can still be taken back, so that the
 * old servers have little left to do when they are stopped. At last, with time for the write, it is completed. A
 * version that is in doubt when its time is over is taken back: doubt that comes and goes would let it pass in the end.
 */
public object RolloutPolicy {
    /**
     * The next step of a rollout whose version has had [outcomes], on which evidence gives [verdict]. The service gets
     * [requestsPerSecond].
     */
    public fun nextStep(
        verdict: VersionVerdict,
        outcomes: Long,
        schedule: RolloutSchedule,
        account: ExposureAccount,
        requestsPerSecond: Double,
    ): RolloutStep {
        if (verdict == VersionVerdict.WORSE) return RolloutStep(0.0, RolloutState.ROLLED_BACK)
        val canaryShare = account.canaryShare(schedule.elapsedMillis, schedule.durationMillis)
        if (verdict == VersionVerdict.SUSPECT) {
            if (schedule.remainingMillis <= 0) return RolloutStep(0.0, RolloutState.ROLLED_BACK)
            return RolloutStep(canaryShare, RolloutState.RUNNING)
        }
        if (schedule.handoverMillis == null) {
            val untilHandover = schedule.remainingMillis - longestHandover(schedule, account, requestsPerSecond)
            if (untilHandover > 0) return RolloutStep(canaryShare, RolloutState.RUNNING, untilHandover)
        }
        val isCompleted = (schedule.handoverMillis ?: 0) >= schedule.minHandoverMillis &&
            schedule.remainingMillis <= schedule.writeMillis &&
            outcomes >= MIN_OUTCOMES_TO_COMPLETE
        return RolloutStep(1.0, if (isCompleted) RolloutState.COMPLETED else RolloutState.RUNNING)
    }

    private fun longestHandover(schedule: RolloutSchedule, account: ExposureAccount, requestsPerSecond: Double): Long =
        minOf(
            account.handoverMillis(requestsPerSecond),
            MAX_HANDOVER_MILLIS,
            schedule.durationMillis / MIN_HANDOVERS_IN_DURATION,
        )

    /** A longer one would leave the instances with few requests without room. */
    private const val MAX_HANDOVER_MILLIS = 3_000L

    /** Bounds the handover of a short rollout by a part of its time. */
    private const val MIN_HANDOVERS_IN_DURATION = 4

    /** An end can't be undone, so a version that hardly served has to show first that it does. */
    private const val MIN_OUTCOMES_TO_COMPLETE = 5L
}
