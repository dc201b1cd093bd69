package org.berylpoint.entry.once

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.berylpoint.entry.member.MembershipView
import org.berylpoint.entry.node.NodeContext
import org.berylpoint.model.Instance
import org.berylpoint.model.InstanceId
import org.berylpoint.peer.KeyOf
import org.berylpoint.peer.PeerMessage
import org.berylpoint.platform.PlatformError
import org.berylpoint.policy.Rendezvous
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/**
 * Takes over accepted but not dispatched records from instances that have departed or are stopping, and runs them.
 *
 * For each instance confirmed departed, the first live instance by rendezvous hashing reads its index rows. This is
 * repeated at each interval until it has succeeded once, by whichever instance ranks first at that time, so that an
 * outage of the table service or the failure of the responsible instance only delays the takeover.
 */
internal class RecordTakeover(
    private val context: NodeContext,
    private val view: StateFlow<MembershipView>,
    private val store: OnceStore,
    private val holderDirectory: HolderDirectory,
    private val openTicket: (KeyOf, StoredRecord, Boolean) -> TableOnceTicket,
) {
    private val lastSweeps = mutableMapOf<InstanceId, ComparableTimeMark>()
    private var runner: AcceptedRequestRunner? = null

    fun start(runner: AcceptedRequestRunner) {
        this.runner = runner
        context.scope.launch {
            while (isActive) {
                // Registers in advance, so that the first request does not wait for it.
                holderDirectory.register()
                sweepDeparted()
                withTimeoutOrNull(SWEEP_INTERVAL) { awaitDeparture() }
            }
        }
        context.scope.launch {
            while (isActive) {
                // The random delay spreads the queries of instances that started at the same time.
                delay(DIRECTORY_SWEEP_INTERVAL * (0.5 + context.random.nextDouble()))
                sweepHolderDirectory()
            }
        }
    }

    /** Offers [keys] to live peers, one at a time, own failure domain first, until a peer takes them over. */
    suspend fun handOver(keys: List<KeyOf>) {
        if (keys.isEmpty()) return
        val (own, other) = view.value.alive
            .filter { it.id != context.self.id }
            .shuffled(context.random)
            .partition { it.failureDomain == context.self.failureDomain }
        val message = PeerMessage.TakeOver(context.self.id, keys)
        for (peer in own + other) {
            val answer = context.peers.call(peer.peerAddress, message, HANDOVER_CALL_TIMEOUT).getOrElse { null }
            if (answer is PeerMessage.Ack) return
        }
        log.warn { "once: handover failed: no peer took over ${keys.size} accepted requests" }
    }

    suspend fun handle(message: PeerMessage.TakeOver): PeerMessage {
        if (runner == null) return PeerMessage.Refusal("the instance has not started to take over requests")
        val errors = takeOver(message.from, message.keys)
        return if (errors.isEmpty()) PeerMessage.Ack else PeerMessage.Refusal("${errors.first()}")
    }

    private suspend fun awaitDeparture() {
        val departed = view.value.departed
        view.first { it.departed != departed }
    }

    private suspend fun sweepDeparted() {
        val departed = view.value.departed
        lastSweeps.keys.retainAll(departed)
        for (id in departed) {
            val last = lastSweeps[id]
            val isSweepDue = last == null || last.elapsedNow() > REPEATED_SWEEP_INTERVAL
            if (isSweepDue && isResponsibleFor(id) && sweep(id)) lastSweeps[id] = context.time.markNow()
        }
    }

    /** Sweeps departed holders from the directory that no member remembers, as after all instances stopped at once. */
    private suspend fun sweepHolderDirectory() {
        var after = ""
        while (true) {
            val page = holderDirectory.list(after).getOrElse { return }
            if (page.isEmpty()) return
            after = page.last().id.value
            for (holder in page.filter { it.id != context.self.id && isResponsibleFor(it.id) }) {
                if (holderDirectory.isConfirmedDeparted(holder) && sweep(holder.id)) removeIfFinished(holder)
            }
        }
    }

    private suspend fun removeIfFinished(holder: Instance) {
        if (store.listUnfinishedKeys(holder.id, "").getOrElse { return }.isEmpty()) holderDirectory.remove(holder)
    }

    private fun isResponsibleFor(id: InstanceId): Boolean =
        Rendezvous.first(id.value, view.value.alive) { it.id.value }?.id == context.self.id

    /** Takes over all requests that [id] has accepted but not dispatched; false if the sweep must be repeated. */
    private suspend fun sweep(id: InstanceId): Boolean {
        var after = ""
        var isComplete = true
        while (true) {
            val page = store.listUnfinishedKeys(id, after).getOrElse { return false }
            if (page.isEmpty()) return isComplete
            after = page.last().first
            if (takeOver(id, page.map { it.second }).isNotEmpty()) isComplete = false
        }
    }

    /** Takes the keys over concurrently, so that they share transactions; returns the errors. */
    private suspend fun takeOver(from: InstanceId, keys: List<KeyOf>): List<PlatformError> = coroutineScope {
        keys.map { async { takeOver(from, it) } }.awaitAll().filterNotNull()
    }

    /** Takes the record of [key] over from [from] and runs it if it is not dispatched; returns the error, if any. */
    private suspend fun takeOver(from: InstanceId, key: KeyOf): PlatformError? {
        val found = store.read(key).getOrElse { return it }
        return when {
            found == null || found.record.holder.id != from -> null
            found.record.state != OnceRecord.State.Accepted -> store.deleteIndex(from, key).leftOrNull()
            !holderDirectory.register() -> PlatformError.Unavailable("this instance is not in the holder directory")
            else -> claim(from, key, found)
        }
    }

    private suspend fun claim(from: InstanceId, key: KeyOf, found: StoredRecord): PlatformError? {
        val next = found.record.copy(
            holder = context.self,
            epoch = found.record.epoch + 1,
            tenure = store.newToken(),
            step = store.newToken(),
        )
        val error = store.accept(key, next, found.version, from).leftOrNull()
        val claimed = if (error == null) {
            StoredRecord(next, found.version + 1)
        } else {
            store.read(key).getOrElse { return it }
        }
        if (claimed?.record?.tenure != next.tenure) {
            // A failed condition means that another instance holds the record now: nothing is left to take over.
            return error.takeIf { it !is PlatformError.ConditionFailed }
        }
        log.info { "once: took over accepted request ${key.key} from $from" }
        context.scope.launch { run(key, claimed) }
        return null
    }

    /** Runs a request without a caller until it has an outcome; after [MAX_RUN_TIME] its key is released. */
    private suspend fun run(key: KeyOf, claimed: StoredRecord) {
        val runner = runner ?: return
        val start = context.time.markNow()
        var latest = claimed
        var retryDelay = MIN_RUN_RETRY_DELAY
        while (start.elapsedNow() < MAX_RUN_TIME) {
            val ticket = openTicket(key, latest, true)
            runner.run(latest.record.request.toRequest(context.time.markNow() + RUN_ATTEMPT_TIMEOUT), ticket)
            if (!ticket.localOutcome.isCompleted) ticket.abandon()
            if (ticket.localOutcome.await() != LocalOutcome.NotRun || ticket.isTakenOver) return
            latest = ticket.lastStored
            delay(retryDelay)
            retryDelay = minOf(retryDelay * 2, MAX_RUN_RETRY_DELAY)
        }
        log.warn { "once: request ${key.key} did not run within $MAX_RUN_TIME; releasing its key" }
        openTicket(key, latest, false).abandon()
    }

    private companion object {
        val SWEEP_INTERVAL: Duration = 1.seconds

        // An instance that was wrongly considered departed may accept further requests after the sweep.
        val REPEATED_SWEEP_INTERVAL: Duration = 1.minutes
        val DIRECTORY_SWEEP_INTERVAL: Duration = 30.seconds
        val HANDOVER_CALL_TIMEOUT: Duration = 3.seconds
        val MAX_RUN_TIME: Duration = 15.minutes

        // Replaces the caller's deadline, which has passed or is unknown, with that of a usual caller.
        val RUN_ATTEMPT_TIMEOUT: Duration = 30.seconds
        val MIN_RUN_RETRY_DELAY: Duration = 1.seconds
        val MAX_RUN_RETRY_DELAY: Duration = 10.seconds
    }
}
