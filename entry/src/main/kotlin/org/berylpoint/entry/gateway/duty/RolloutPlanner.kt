package org.berylpoint.entry.gateway.duty

import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.model.serving.RolloutState
import org.berylpoint.policy.rollout.RolloutPolicy
import org.berylpoint.policy.rollout.RolloutSchedule
import org.berylpoint.policy.rollout.RolloutStep
import org.berylpoint.policy.rollout.VersionVerdict

/** Plans the steps of rollouts for all instances, at the one that holds the duties. */
internal class RolloutPlanner(private val peers: PeerView, private val clocks: Clocks, private val log: DecisionLog) {
    /** Sets the plan of [rollout] and returns its next step. The last write of an end took [lastWriteMillis]. */
    fun plan(rollout: TrackedRollout, lastWriteMillis: Long): RolloutStep {
        val step = nextStep(rollout, lastWriteMillis)
        apply(rollout, step)
        return step
    }

    private fun nextStep(rollout: TrackedRollout, lastWriteMillis: Long): RolloutStep {
        val now = clocks.steadyMillis
        val schedule = RolloutSchedule(
            elapsedMillis = now - rollout.startedAtMillis,
            durationMillis = rollout.order.durationMillis,
            handoverMillis = rollout.handoverSinceMillis?.let { now - it },
            minHandoverMillis = LAST_RESPONSES_MILLIS + noticeMillis(rollout),
            writeMillis = WRITE_MARGIN_MILLIS + lastWriteMillis,
        )
        val verdict = if (rollout.isRejected) VersionVerdict.WORSE else rollout.verdict
        val account = rollout.account
        return RolloutPolicy.nextStep(verdict, rollout.outcomes, schedule, account, rollout.requestsPerSecond)
    }

    /** Time from the beginning of a handover until all instances have acted on it. */
    private fun noticeMillis(rollout: TrackedRollout): Long {
        val reportMillis = PeerView.reportIntervalMillis(peers.peerCount)
        val since = rollout.handoverSinceMillis ?: return reportMillis
        val announced = rollout.handoverAnnouncedAtMillis
        return if (announced != null && since - announced > reportMillis) RolloutDuty.INTERVAL_MILLIS else reportMillis
    }

    private fun apply(rollout: TrackedRollout, step: RolloutStep) {
        val now = clocks.steadyMillis
        val isAnnounced = step.handoverInMillis != null || step.share == 1.0
        rollout.handoverAnnouncedAtMillis = if (isAnnounced) rollout.handoverAnnouncedAtMillis ?: now else null
        val end = rollout.startedAtMillis + rollout.order.durationMillis
        // Others change over at the moment that they were told, also if this task comes a little later.
        val planned = rollout.ownPlan?.handoverAtMillis?.coerceAtMost(now) ?: now
        rollout.handoverSinceMillis = if (step.share == 1.0) rollout.handoverSinceMillis ?: planned else null
        rollout.ownPlan = RolloutPlan(step.share, step.handoverInMillis?.plus(now), end)
        if (now >= end && step.state == RolloutState.RUNNING) logOverdue(rollout, now)
    }

    private fun logOverdue(rollout: TrackedRollout, now: Long) {
        if (rollout.isOverdueLogged) return
        rollout.isOverdueLogged = true
        rollout.logChange(
            log,
            "a rollout is not completed in time",
            "verdict" to rollout.verdict.name,
            "outcomes" to rollout.outcomes,
            "handover" to rollout.handoverSinceMillis?.let { now - it },
            "perSecond" to rollout.requestsPerSecond,
        )
    }

    private companion object {
        /** Time for most responses of the old servers to end. */
        const val LAST_RESPONSES_MILLIS = 150L

        /** Time before the end of a rollout at which its completion is written, besides what the last call took. */
        const val WRITE_MARGIN_MILLIS = 400L
    }
}
