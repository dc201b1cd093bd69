package org.berylpoint.entry.ownership

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import org.berylpoint.entry.backend.ListedServer
import org.berylpoint.entry.backend.ServerDirectory
import org.berylpoint.entry.member.DomainEpoch
import org.berylpoint.entry.member.DomainEpochs
import org.berylpoint.entry.member.MembershipView
import org.berylpoint.entry.node.NodeContext
import org.berylpoint.model.BackendServer
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.Instance
import org.berylpoint.model.RequestId
import org.berylpoint.peer.AttemptOutcome
import org.berylpoint.peer.DenyReason
import org.berylpoint.peer.PeerMessage
import org.berylpoint.peer.PeerMessage.Ack
import org.berylpoint.peer.PeerMessage.Denied
import org.berylpoint.peer.PeerMessage.Granted
import org.berylpoint.peer.PeerMessage.InFlightReport
import org.berylpoint.peer.PeerMessage.Release
import org.berylpoint.peer.PeerMessage.Reserve
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Requests grants from the owners of backend servers and reports the outstanding grants to every new owner.
 *
 * Once this instance knows an epoch, it accepts no grant of an earlier one, so its report to the owners of that epoch
 * is complete. The report is repeated until each owner has acknowledged it.
 */
public class PeerReservations(
    private val context: NodeContext,
    private val membership: StateFlow<MembershipView>,
    private val epochs: DomainEpochs,
    private val directory: ServerDirectory,
    private val concurrencyLimiter: ServerConcurrencyLimiter,
) : Reservations {
    private val self: Instance = context.self
    private val grants = linkedMapOf<Long, HeldGrant>()
    private val reports = mutableMapOf<FailureDomain, Pair<Long, Job>>()

    /** Starts to report outstanding grants to the owners of each new epoch. */
    public fun start() {
        context.scope.launch {
            epochs.current.collect { all ->
                all.values.forEach { epoch ->
                    val previous = reports[epoch.domain]
                    if (previous == null || previous.first < epoch.epoch) {
                        previous?.second?.cancel()
                        reports[epoch.domain] = epoch.epoch to context.scope.launch { report(epoch) }
                    }
                }
            }
        }
    }

    override suspend fun reserve(
        server: BackendServer,
        request: RequestId,
        remaining: Duration,
        wait: Duration,
        worth: Double,
    ): Either<Denied, Grant> {
        val start = context.time.markNow()
        var answer: Either<Denied, HeldGrant>
        do {
            val elapsed = start.elapsedNow()
            val owner = epochs.ownerOf(server) ?: return Denied(DenyReason.NOT_OWNER).left()
            val message = Reserve(
                server = server.id,
                request = request,
                remainingMillis = (remaining - elapsed).inWholeMilliseconds,
                waitMillis = (wait - elapsed).inWholeMilliseconds.coerceAtLeast(0),
                worth = worth,
            )
            answer = requestGrant(owner, server, message)
            val hasOwnerChanged = answer.leftOrNull()?.reason == DenyReason.NOT_OWNER
            if (!hasOwnerChanged) return answer
            epochs.refresh()
            delay(RETRY_DELAY)
        } while (start.elapsedNow() < wait)
        return answer
    }

    /** The call continues if its caller is cancelled, so that a grant that arrives afterwards is released. */
    private suspend fun requestGrant(
        owner: Instance,
        server: BackendServer,
        message: Reserve,
    ): Either<Denied, HeldGrant> {
        val result = CompletableDeferred<Either<Denied, HeldGrant>>()
        context.scope.launch {
            val start = context.time.markNow()
            val answer = call(owner, message, message.waitMillis.milliseconds + CALL_TIMEOUT)
            result.complete(toGrant(server, message, answer, start))
        }
        try {
            return result.await()
        } catch (e: CancellationException) {
            context.scope.launch { result.await().onRight { it.release(AttemptOutcome.NOT_SENT) } }
            throw e
        }
    }

    private fun toGrant(
        server: BackendServer,
        message: Reserve,
        answer: PeerMessage?,
        start: ComparableTimeMark,
    ): Either<Denied, HeldGrant> = when (answer) {
        is Granted -> {
            val grant = HeldGrant(server, answer, start, message.remainingMillis.milliseconds)
            grants[answer.grant] = grant
            val epoch = epochs.current.value[server.failureDomain]?.epoch ?: 0
            if (answer.epoch < epoch) {
                grant.release(AttemptOutcome.NOT_SENT)
                Denied(DenyReason.NOT_OWNER, answer.inFlight, answer.limit).left()
            } else {
                grant.right()
            }
        }

        is Denied -> answer.left()

        else -> Denied(DenyReason.NOT_OWNER).left()
    }

    private suspend fun call(owner: Instance, message: PeerMessage, timeout: Duration): PeerMessage? =
        if (owner.id == self.id) {
            concurrencyLimiter.handle(self.id, message)
        } else {
            context.peers.call(owner.peerAddress, message, timeout).getOrElse { null }
        }

    private suspend fun report(epoch: DomainEpoch): Unit =
        coroutineScope { epoch.members.forEach { owner -> launch { report(epoch, owner) } } }

    private suspend fun report(epoch: DomainEpoch, owner: Instance) {
        while (owner.id !in membership.value.departed) {
            val held = grants.values.filter {
                it.server.failureDomain == epoch.domain && epoch.ownerOf(it.server.id)?.id == owner.id
            }
            val records = held.groupBy({ it.server.id }, { grantRecord(it.id, it.endsAt) })
            if (call(owner, InFlightReport(self.id, epoch.epoch, records), CALL_TIMEOUT) == Ack) return
            delay(RETRY_DELAY)
        }
    }

    private suspend fun sendRelease(grant: HeldGrant, outcome: AttemptOutcome) {
        val message = Release(grant.server.id, grant.id, outcome)
        // The owner removes an expired grant on its own.
        while (!grant.endsAt.hasPassedNow()) {
            val owner = epochs.ownerOf(grant.server)
            if (owner != null && call(owner, message, CALL_TIMEOUT) == Ack) return
            delay(RETRY_DELAY)
        }
    }

    private inner class HeldGrant(
        val server: BackendServer,
        granted: Granted,
        private val start: ComparableTimeMark,
        remaining: Duration,
    ) : Grant {
        val id: Long = granted.grant
        override val load: ServerLoad = ServerLoad(granted.inFlight, granted.limit)
        val endsAt: ComparableTimeMark = start + remaining + GRANT_EXPIRY_MARGIN
        private val startWithin = granted.startWithinMillis.milliseconds
        private var isReleased = false

        override fun isUsable(): Boolean = !isReleased &&
            start.elapsedNow() <= startWithin &&
            directory.find(server.id)?.state == ListedServer.State.InService

        override fun release(outcome: AttemptOutcome) {
            if (isReleased) return
            isReleased = true
            grants -= id
            context.scope.launch { sendRelease(this@HeldGrant, outcome) }
        }
    }

    private companion object {
        private val CALL_TIMEOUT = 1.seconds
        private val RETRY_DELAY = 100.milliseconds
    }
}
