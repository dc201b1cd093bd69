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

/** An epoch of the own domain, its members and the time at which this instance learned of it. */
internal class ObservedEpoch(val epoch: Long, val members: Set<InstanceId>, val learnedAt: ComparableTimeMark)

/** A grant that the owner counts as in flight until it is released or expires at [endsAt]. */
internal class OutstandingGrant(
    val holder: InstanceId,
    val grantedAt: ComparableTimeMark,
    val endsAt: ComparableTimeMark,
)

/** A reservation that waits for a grant; the one with the earliest [rank] is granted first. */
internal class QueuedReservation(
    val from: InstanceId,
    val message: PeerMessage.Reserve,
    val receivedAt: ComparableTimeMark,
    val rank: ComparableTimeMark,
) {
    val answer = CompletableDeferred<PeerMessage>()
}

/** The owner's state for one backend server: outstanding grants, queued reservations and the ramp of its limit. */
internal class OwnedServer(val id: BackendServerId, var ownedSince: ObservedEpoch) {
    val grants = linkedMapOf<Long, OutstandingGrant>()
    val queue = mutableListOf<QueuedReservation>()

    /** Whether all grants of earlier owners are known or expired, and no earlier owner can make another. */
    var isRecovered = false
    private var ramp: ConcurrencyRamp? = null
    private var hasCountedOutcome = false
    private val releasedEarly = linkedSetOf<Long>()

    val inFlight: Int get() = grants.size

    val isIdle: Boolean get() = grants.isEmpty() && queue.isEmpty()

    /** The limit of the ramp, or null if there has been no reservation or handover for the server yet. */
    val rampLimit: Int? get() = ramp?.limit

    /** Returns the ramp; a new one starts at the limit [inherited], or at its initial limit if that is null. */
    fun ramp(limits: ClassLimits, inherited: Int?, now: ComparableTimeMark): ConcurrencyRamp {
        val current = ramp?.withLimits(limits)
            ?: inherited?.let { ConcurrencyRamp.resume(limits, it, now) }
            ?: ConcurrencyRamp.start(limits, now)
        return current.also { ramp = it }
    }

    /** Adopts the [limit] of the previous owner, unless an outcome has already been counted here. */
    fun inheritLimit(limits: ClassLimits, limit: Int, now: ComparableTimeMark) {
        if (!hasCountedOutcome) ramp = ConcurrencyRamp.resume(limits, limit, now)
    }

    /** Adds grants that an earlier owner made to [holder]. */
    fun addGrants(holder: InstanceId, records: List<GrantRecord>, now: ComparableTimeMark) {
        records.filter { it.grant !in releasedEarly }.forEach { record ->
            grants.getOrPut(record.grant) { OutstandingGrant(holder, now, now + record.endsWithin) }
        }
    }

    /** Releases a grant and updates the ramp with its outcome. */
    fun release(grant: Long, outcome: AttemptOutcome, now: ComparableTimeMark) {
        if (grants.remove(grant) == null) {
            // The report or handover that contains this grant may arrive after its release.
            releasedEarly += grant
            if (releasedEarly.size > MAX_EARLY_RELEASES) releasedEarly -= releasedEarly.first()
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
        hasCountedOutcome = true
    }

    private companion object {
        private const val MAX_EARLY_RELEASES = 256
    }
}
