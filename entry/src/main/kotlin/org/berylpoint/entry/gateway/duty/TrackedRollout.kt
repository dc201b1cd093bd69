package org.berylpoint.entry.gateway.duty

import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.model.serving.RolloutId
import org.berylpoint.model.serving.RolloutOrder
import org.berylpoint.model.serving.RolloutState
import org.berylpoint.peer.RolloutPart
import org.berylpoint.peer.RolloutPlanPart
import org.berylpoint.policy.rollout.ComparedVersions
import org.berylpoint.policy.rollout.EvidenceHistory
import org.berylpoint.policy.rollout.ExposureAccount
import org.berylpoint.policy.rollout.ExposureBounds
import org.berylpoint.policy.rollout.InstanceExposure
import org.berylpoint.policy.rollout.RequestRate
import org.berylpoint.policy.rollout.VersionVerdict
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/**
 * The share of the new version that the holder of the duties wants, and when it is to get all traffic; null if that has
 * begun or isn't planned. The order's time is over at [endsAtMillis]. Times are on the steady clock.
 */
internal data class RolloutPlan(val share: Double, val handoverAtMillis: Long?, val endsAtMillis: Long) {
    fun shareAt(nowMillis: Long): Double = if (handoverAtMillis != null && nowMillis >= handoverAtMillis) 1.0 else share
}

/** A plan as the report number [sequence] of the instance [holder] told it, which was heard at [atMillis]. */
internal data class HeardPlan(val holder: String, val sequence: Long, val plan: RolloutPlan, val atMillis: Long)

/**
 * What this instance knows of one rollout order. Requests, the task that follows the rollout and the one that decides
 * on it use it at the same time; each field is written by one of these tasks.
 *
 * [seenBefore] is what had been seen of the new version and of all others before the order.
 */
internal class TrackedRollout(
    val order: RolloutOrder,
    startedAtMillis: Long,
    /** When this process began to follow the order, on its steady clock. */
    val trackedSinceMillis: Long,
    seenBefore: ComparedVersions,
    bounds: ExposureBounds,
) {
    /** Name of the order in reports and in the store; another than the order's own if that was first seen elsewhere. */
    @Volatile
    var id: RolloutId = order.id

    /** When the order was first seen, on this process's steady clock. */
    @Volatile
    var startedAtMillis: Long = startedAtMillis

    /** Requests of this instance to servers of the service since it knows the order, and those to the new version. */
    val sent = AtomicLong()
    val sentToNew = AtomicLong()

    /** Share of this instance's requests that is to go to the new version while the rollout runs. */
    @Volatile
    var share = 0.0

    /** The share that was logged last. */
    var loggedShare = 0.0

    /** Whether outcomes speak against the new version; it gets nothing then until a decision is known. */
    @Volatile
    var isRejected = false

    /** The state that the store has. The two ends are never left again. */
    @Volatile
    var decision = RolloutState.RUNNING

    /** What this instance plans; null unless it holds the duties. */
    @Volatile
    var ownPlan: RolloutPlan? = null

    val evidence = EvidenceHistory(seenBefore)
    val exposure = InstanceExposure(bounds)
    val rate = RequestRate()

    /** What the outcomes say now, and their number. */
    @Volatile
    var verdict = VersionVerdict.SOUND

    @Volatile
    var outcomes = 0L

    /** The requests of all instances, as far as they are known. */
    @Volatile
    var account = ExposureAccount(0, 0, bounds)

    /** The requests to the service a second. */
    @Volatile
    var requestsPerSecond = 0.0

    /** The newest plan that was heard, with the report that had it; null before. */
    @Volatile
    var heardPlan: HeardPlan? = null

    /** When all traffic began to go to the new version, on the steady clock; for the holder's decisions. */
    var handoverSinceMillis: Long? = null

    /** Since when the others have been told of the handover without a break, on the steady clock. */
    var handoverAnnouncedAtMillis: Long? = null

    /** Whether it was logged that the rollout's time is over. */
    var isOverdueLogged = false

    /** The state that the store was last known to have for the order; null if none. */
    var storedState: RolloutState? = null

    /** Whether the new version must not get anything. */
    val isBarred: Boolean get() = decision == RolloutState.ROLLED_BACK || (isRejected && !isCompleted)
    val isCompleted: Boolean get() = decision == RolloutState.COMPLETED

    /** Share of this instance's requests that goes to the new version. */
    val currentShare: Double
        get() = when {
            isCompleted -> 1.0
            isBarred -> 0.0
            else -> share
        }

    /**
     * Whether the share wants the next request at the new version. A draw for each request alone would leave some
     * instances without room for the handover, others with more than they need.
     */
    fun takesNew(random: Random): Boolean {
        val share = currentShare
        if (share == 1.0) return true
        return sentToNew.get() < share * (sent.get() + 1) && random.nextDouble() < share * CATCH_UP_FACTOR
    }

    /** Whether a further request of this instance may go to the new version at [nowMillis]. */
    fun hasRoom(nowMillis: Long): Boolean =
        isCompleted || isOverdue(nowMillis) || exposure.hasRoom(sent.get(), sentToNew.get())

    /** Whether requests may go to the old version at [nowMillis] if the new one has no server for them. */
    fun mayFallBack(nowMillis: Long): Boolean {
        if (isCompleted) return false
        val end = plan?.endsAtMillis ?: return true
        return share < 1.0 || nowMillis < end - CLOSING_MILLIS
    }

    private fun isOverdue(nowMillis: Long) = plan?.let { nowMillis >= it.endsAtMillis } ?: false

    private val plan: RolloutPlan? get() = ownPlan ?: heardPlan?.plan

    fun isNamedBy(part: RolloutPart): Boolean = part.revision == id.revision && part.era == id.era

    /** What reports tell of the rollout at [nowMillis] on the steady clock. */
    fun toPart(nowMillis: Long): RolloutPart = RolloutPart(
        service = order.service.value,
        revision = id.revision,
        era = id.era,
        sent = sent.get(),
        sentToNew = sentToNew.get(),
        isRejected = isRejected,
        isCompleted = decision == RolloutState.COMPLETED,
        isRolledBack = decision == RolloutState.ROLLED_BACK,
        plan = ownPlan?.let {
            RolloutPlanPart(
                (it.share * PER_MILLE).toInt(),
                it.endsAtMillis - nowMillis,
                it.handoverAtMillis?.minus(nowMillis),
            )
        },
    )

    /** Logs [message] of the rollout, with what this instance has sent. */
    fun logChange(log: DecisionLog, message: String, vararg fields: Pair<String, Any?>) {
        log.event(
            "rollout",
            message,
            "service" to order.service.value,
            "to" to order.to.value,
            "order" to id,
            "sent" to sent.get(),
            "sentToNew" to sentToNew.get(),
            *fields,
        )
    }

    internal companion object {
        const val PER_MILLE = 1_000

        /** By how much the share is exceeded while the new version has had less than its share. */
        const val CATCH_UP_FACTOR = 2.0

        /** Time before the end in which nothing new is sent to servers that are about to be stopped. */
        const val CLOSING_MILLIS = 1_000L
    }
}
