package org.berylpoint.entry.ownership

import kotlinx.coroutines.CompletableDeferred
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.ClassLimits
import org.berylpoint.model.InstanceId
import org.berylpoint.peer.AttemptOutcome
import org.berylpoint.peer.GrantRecord
import org.berylpoint.peer.PeerMessage
import org.berylpoint.policy.ConcurrencyRamp
import kotlin.time.ComparableTimeMark

/** An epoch of the own domain as this instance held it. */
internal class ObservedEpoch(val epoch: Long, val members: Set<InstanceId>, val learnedAt: ComparableTimeMark)

/** One grant in flight, as the owner counts it. */
internal class OutstandingGrant(val holder: InstanceId, val grantedAt: ComparableTimeMark, val endsAt: ComparableTimeMark)

/** A call that waits for a place; the lowest [rank] is served first. */
internal class QueuedReservation(
    val from: InstanceId,
    val message: PeerMessage.Reserve,
    val received: ComparableTimeMark,
    val rank: ComparableTimeMark,
) {
    val answer = CompletableDeferred<PeerMessage>()
}

/** What the owner knows of one backend server: its grants in flight, its queue and its ramp. */
internal class OwnedServer(val id: BackendServerId, var ownedSince: ObservedEpoch) {
    val grants = linkedMapOf<Long, OutstandingGrant>()
    val queue = mutableListOf<QueuedReservation>()

    /** Whether every grant of earlier owners is known or over, and no earlier owner can make one. */
    var isRecovered = false
    private var ramp: ConcurrencyRamp? = null
    private var isRampUsed = false
    private val releasedEarly = linkedSetOf<Long>()

    val inFlight: Int get() = grants.size

    val isIdle: Boolean get() = grants.isEmpty() && queue.isEmpty()

    /** The ramp's limit, or null if the server was never asked for. */
    val rampLimit: Int? get() = ramp?.limit

    /** The ramp; a new one starts with [inherited], or at the start of the ramp without it. */
    fun ramp(limits: ClassLimits, inherited: Int?, now: ComparableTimeMark): ConcurrencyRamp {
        val known = ramp?.withLimits(limits)
            ?: inherited?.let { ConcurrencyRamp.resume(limits, it, now) }
            ?: ConcurrencyRamp.start(limits, now)
        return known.also { ramp = it }
    }

    /** Takes over the limit of the previous owner, unless this owner has seen answers of its own. */
    fun inheritLimit(limits: ClassLimits, limit: Int, now: ComparableTimeMark) {
        if (!isRampUsed) ramp = ConcurrencyRamp.resume(limits, limit, now)
    }

    /** Adds grants that an earlier owner made. */
    fun addGrants(holder: InstanceId, records: List<GrantRecord>, now: ComparableTimeMark) {
        records.filter { it.grant !in releasedEarly }.forEach { record ->
            grants.getOrPut(record.grant) { OutstandingGrant(holder, now, now + record.endsWithin) }
        }
    }

    /** Ends a grant and counts its outcome. */
    fun release(grant: Long, outcome: AttemptOutcome, now: ComparableTimeMark) {
        if (grants.remove(grant) == null) {
            // The report or handover that tells of this grant may still be on its way.
            releasedEarly += grant
            if (releasedEarly.size > RELEASED_KEPT) releasedEarly -= releasedEarly.first()
            return
        }
        val before = ramp ?: return
        ramp = when (outcome) {
            AttemptOutcome.COMPLETED -> before.afterOnTimeResponse(now)
            AttemptOutcome.SLOW -> before.afterSlowResponse(inFlight, now)
            AttemptOutcome.FAILED -> before.afterFailure(now)
            AttemptOutcome.CRASHED -> before.restarted(now)
            AttemptOutcome.NOT_SENT, AttemptOutcome.CANCELLED -> return
        }
        isRampUsed = true
    }

    private companion object {
        private const val RELEASED_KEPT = 256
    }
}
