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
 * Takes over records that are only accepted, from instances that are gone or stop, and runs them.
 *
 * For each instance confirmed gone the first live one by rendezvous hashing reads its index rows. Until that has
 * succeeded once it is tried at each interval, by whichever instance is the first then, so that an outage of the
 * table or the death of the survivor only delays it.
 */
internal class RecordTakeover(
    private val context: NodeContext,
    private val view: StateFlow<MembershipView>,
    private val store: OnceStore,
    private val holders: HolderDirectory,
    private val hold: (KeyOf, StoredRecord, Boolean) -> TableOnceTicket,
) {
    private val swept = mutableMapOf<InstanceId, ComparableTimeMark>()
    private var runner: AcceptedRequestRunner? = null

    fun start(runner: AcceptedRequestRunner) {
        this.runner = runner
        context.scope.launch {
            while (isActive) {
                // Ahead of the first request, which would wait for it.
                holders.register()
                sweepDeparted()
                withTimeoutOrNull(SWEEP_INTERVAL) { awaitDeparture() }
            }
        }
        context.scope.launch {
            while (isActive) {
                // Spread over the interval, because all instances may have started at the same time.
                delay(HOLDERS_INTERVAL * (0.5 + context.random.nextDouble()))
                sweepUnknown()
            }
        }
    }

    /** Sends [keys] to one live peer after the other until one takes them. */
    suspend fun handOver(keys: List<KeyOf>) {
        if (keys.isEmpty()) return
        val (own, other) = view.value.alive
            .filter { it.id != context.self.id }
            .shuffled(context.random)
            .partition { it.failureDomain == context.self.failureDomain }
        val message = PeerMessage.TakeOver(context.self.id, keys)
        for (peer in own + other) {
            val answer = context.peers.call(peer.peerAddress, message, HAND_OVER_TIMEOUT).getOrElse { null }
            if (answer is PeerMessage.Ack) return
        }
        log.warn { "once: no peer took over ${keys.size} accepted requests" }
    }

    suspend fun handle(message: PeerMessage.TakeOver): PeerMessage {
        if (runner == null) return PeerMessage.Refusal("not ready")
        val errors = takeOver(message.from, message.keys)
        return if (errors.isEmpty()) PeerMessage.Ack else PeerMessage.Refusal("${errors.first()}")
    }

    private suspend fun awaitDeparture() {
        val known = view.value.departed
        view.first { it.departed != known }
    }

    private suspend fun sweepDeparted() {
        val departed = view.value.departed
        swept.keys.retainAll(departed)
        for (id in departed) {
            val last = swept[id]
            val isDue = last == null || last.elapsedNow() > SWEEP_AGAIN
            if (isDue && isFirstFor(id) && sweep(id)) swept[id] = context.time.markNow()
        }
    }

    /** Looks for holders that no member remembers, as after the end of all instances at once. */
    private suspend fun sweepUnknown() {
        var after = ""
        while (true) {
            val page = holders.list(after).getOrElse { return }
            if (page.isEmpty()) return
            after = page.last().id.value
            for (holder in page.filter { it.id != context.self.id && isFirstFor(it.id) }) {
                if (holders.isConfirmedDeparted(holder) && sweep(holder.id)) forget(holder)
            }
        }
    }

    private suspend fun forget(holder: Instance) {
        if (store.listUnfinishedKeys(holder.id, "").getOrElse { return }.isEmpty()) holders.remove(holder)
    }

    private fun isFirstFor(id: InstanceId): Boolean =
        Rendezvous.first(id.value, view.value.alive) { it.id.value }?.id == context.self.id

    /** Takes over what [id] has accepted only; false when it has to be tried again. */
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

    /** All at once, so that they share transactions; the errors. */
    private suspend fun takeOver(from: InstanceId, keys: List<KeyOf>): List<PlatformError> = coroutineScope {
        keys.map { async { takeOver(from, it) } }.awaitAll().filterNotNull()
    }

    /** Takes the record of [key] over from [from] if it is only accepted, and runs it; the error, if any. */
    private suspend fun takeOver(from: InstanceId, key: KeyOf): PlatformError? {
        val found = store.read(key).getOrElse { return it }
        return when {
            found == null || found.record.holder.id != from -> null
            found.record.state != OnceRecord.State.Accepted -> store.deleteIndex(from, key).leftOrNull()
            !holders.register() -> PlatformError.Unavailable("this instance is not listed as a holder")
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
        val taken = if (error ==
            null
        ) {
            StoredRecord(next, found.version + 1)
        } else {
            store.read(key).getOrElse { return it }
        }
        if (taken?.record?.tenure != next.tenure) {
            // Without the condition the record belongs to another instance, and nothing is left to do here.
            return error.takeIf { it !is PlatformError.ConditionFailed }
        }
        log.info { "once: took over ${key.key} from $from" }
        context.scope.launch { run(key, taken) }
        return null
    }

    /** Runs a request without a caller until it ends; the key is freed if that takes too long. */
    private suspend fun run(key: KeyOf, taken: StoredRecord) {
        val runner = runner ?: return
        val start = context.time.markNow()
        var known = taken
        var pause = RUN_PAUSE
        while (start.elapsedNow() < RUN_FOR) {
            val ticket = hold(key, known, true)
            runner.run(known.record.request.toRequest(context.time.markNow() + RUN_DEADLINE), ticket)
            if (!ticket.localOutcome.isCompleted) ticket.abandon()
            if (ticket.localOutcome.await() != LocalOutcome.NotRun || ticket.isTakenOver) return
            known = ticket.lastStored
            delay(pause)
            pause = minOf(pause * 2, RUN_PAUSE_MAX)
        }
        log.warn { "once: ${key.key} found no backend server for $RUN_FOR; its key is free again" }
        hold(key, known, false).abandon()
    }

    private companion object {
        val SWEEP_INTERVAL: Duration = 1.seconds

        // An instance that was taken for gone and is not may accept requests after it was swept.
        val SWEEP_AGAIN: Duration = 1.minutes
        val HOLDERS_INTERVAL: Duration = 30.seconds
        val HAND_OVER_TIMEOUT: Duration = 3.seconds
        val RUN_FOR: Duration = 15.minutes

        // The caller's deadline has passed or is unknown; the time that a usual caller allows.
        val RUN_DEADLINE: Duration = 30.seconds
        val RUN_PAUSE: Duration = 1.seconds
        val RUN_PAUSE_MAX: Duration = 10.seconds
    }
}
