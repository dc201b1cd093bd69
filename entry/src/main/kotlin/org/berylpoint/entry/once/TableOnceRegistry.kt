package org.berylpoint.entry.once

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.berylpoint.entry.member.MembershipView
import org.berylpoint.entry.node.NodeContext
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.Problem
import org.berylpoint.model.RunState
import org.berylpoint.model.ServeRequest
import org.berylpoint.peer.KeyOf
import org.berylpoint.peer.PeerMessage
import org.berylpoint.platform.PlatformError
import org.berylpoint.platform.TableService
import kotlin.time.Duration

/**
 * At-most-once execution based on one record per key in the table service.
 *
 * A record goes through the states accepted, dispatched and done; each write is conditional on the previous one. A
 * record that is accepted but not dispatched is taken over when its holder is confirmed departed or hands it over. A
 * dispatched request never runs again.
 *
 * Writes to [table] share transactions, and [pacer] limits their rate. Pass the pacer of the underlying
 * [RelayingTable], so that the limit also covers the writes performed for peers.
 */
public class TableOnceRegistry(
    private val context: NodeContext,
    private val view: StateFlow<MembershipView>,
    table: TableService,
    pacer: TransactionPacer = TransactionPacer(context.time),
) : OnceRegistry {
    private val grouped = GroupCommitTable(table, context.scope, context.time, pacer)
    private val store = OnceStore(grouped, context.random)
    private val tickets = mutableMapOf<KeyOf, TableOnceTicket>()
    private val activeCalls = mutableMapOf<KeyOf, CompletableDeferred<Unit>>()
    private val holderDirectory = HolderDirectory(context, view, grouped)
    private val takeover = RecordTakeover(context, view, store, holderDirectory, ::openTicket)

    /** Keys of the requests that this instance has accepted but not dispatched. */
    public val keysAwaitingDispatch: List<KeyOf> get() = tickets.values.filter { it.isAwaitingDispatch }.map { it.key }

    /** Starts to take over accepted requests of departed instances; [runner] runs them. */
    public fun start(runner: AcceptedRequestRunner): Unit = takeover.start(runner)

    /** Hands accepted requests over to a live peer. If no peer takes them over, this instance keeps them. */
    public suspend fun handOver(): Unit = takeover.handOver(keysAwaitingDispatch)

    /** Takes over the requests that a stopping instance hands over. */
    public suspend fun handle(message: PeerMessage.TakeOver): PeerMessage = takeover.handle(message)

    override suspend fun begin(request: ServeRequest): OnceDecision {
        val key = request.idempotencyKey?.let { KeyOf(request.workspace, it) }
        if (key == null || key.key.value.isBlank()) {
            return refused(ErrorKind.KeyRequired, "the Idempotency-Key is missing or blank")
        }
        if (key.key.value.length > MAX_KEY_CHARS) {
            return refused(ErrorKind.MalformedRequest, "the Idempotency-Key has more than 255 characters")
        }
        if (request.body.length > TableOnceTicket.MAX_STORED_CHARS) {
            return refused(ErrorKind.TooLarge, "the body of a non-idempotent request has at most 60,000 characters")
        }
        // Only one call per key accesses the table; other calls on this instance wait for it to end.
        while (true) {
            val activeCall = activeCalls[key] ?: break
            withTimeoutOrNull(request.remainingTime()) { activeCall.await() }
                ?: return outcomeUnknown(EARLIER_REQUEST_PENDING)
        }
        val done = CompletableDeferred<Unit>()
        activeCalls[key] = done
        try {
            return BeginCall(request, key).decide()
        } finally {
            activeCalls.remove(key)
            done.complete(Unit)
        }
    }

    override suspend fun mayHaveRun(request: ServeRequest): Boolean {
        val key = KeyOf(request.workspace, request.idempotencyKey ?: return false)
        val read = withTimeoutOrNull(request.remainingTime()) { store.read(key) } ?: return true
        return read.fold({ true }, { it != null && it.record.state != OnceRecord.State.Released })
    }

    private fun openTicket(key: KeyOf, accepted: StoredRecord, keepsAcceptedOnAbandon: Boolean): TableOnceTicket {
        val ticket = TableOnceTicket(key, accepted, store, context.scope, keepsAcceptedOnAbandon) {
            tickets.remove(key, it)
        }
        tickets[key] = ticket
        return ticket
    }

    /** A conditional write that makes this instance the holder; [replaced] is the record that it replaces, if any. */
    private data class Claim(val expected: Long, val epoch: Long, val replaced: OnceRecord?)

    /** The state of one call of [begin] while it reads and writes the record. */
    private inner class BeginCall(private val request: ServeRequest, private val key: KeyOf) {
        private val tenure = store.newToken()
        private val recorded = RecordedRequest.of(request, key.key)
        private var claim: Claim? = Claim(0, 1, null)

        /** A claim that was sent and may have taken effect or may still do so. */
        private var unresolved: Claim? = null
        private var grantedDecision: OnceDecision.Run? = null
        private var hasSeenEarlierRequest = false

        suspend fun decide(): OnceDecision {
            var decision: OnceDecision? = null
            try {
                // The timeout may discard a result that was ready at the same moment.
                decision = withTimeoutOrNull(request.remainingTime()) { decideBeforeDeadline() }
                    ?: grantedDecision
                    ?: decideAfterDeadline()
            } finally {
                // The caller got OutcomeUnknown or has disconnected, so the request must not run later.
                if (decision !is OnceDecision.Run) unresolved?.let { withdraw(it) }
                if (decision == null) grantedDecision?.let { context.scope.launch { it.ticket.abandon() } }
            }
            return decision
        }

        private fun decideAfterDeadline(): OnceDecision = when {
            unresolved != null -> outcomeUnknown("the table service did not confirm the record before the deadline")
            hasSeenEarlierRequest -> outcomeUnknown(EARLIER_REQUEST_PENDING)
            else -> refused(ErrorKind.DeadlineExceeded, "the deadline passed before the request was accepted")
        }

        private suspend fun decideBeforeDeadline(): OnceDecision {
            var retryDelay = OnceStore.MIN_RETRY_DELAY
            while (true) {
                awaitLocalOutcome()?.let { return it }
                claim?.let { next -> claim(next)?.let { return it } }
                val found = store.read(key).fold(
                    ifLeft = { null },
                    ifRight = { found -> decideByRecord(found)?.let { return it } ?: found },
                )
                if (claim == null || found == null) {
                    delay(retryDelay)
                    retryDelay = minOf(retryDelay * 2, OnceStore.MAX_RETRY_DELAY)
                }
            }
        }

        /** Waits for a request that holds the key on this instance; null if there is none or it did not run. */
        private suspend fun awaitLocalOutcome(): OnceDecision? {
            val ticket = tickets[key] ?: return null
            hasSeenEarlierRequest = true
            if (!ticket.record.request.matches(request)) return keyReused()
            return when (val outcome = ticket.localOutcome.await()) {
                is LocalOutcome.Answered -> OnceDecision.Answered(outcome.answer)
                LocalOutcome.Unknown -> outcomeUnknown("the outcome of an earlier run of this request is unknown")
                LocalOutcome.NotRun -> null
            }
        }

        /** Tries to become the holder; null if the record must be read before a decision. */
        private suspend fun claim(next: Claim): OnceDecision? {
            if (!holderDirectory.register()) return if (unresolved == null) storeUnavailable() else null
            val before = unresolved
            unresolved = next
            val record = OnceRecord(context.self, next.epoch, tenure, store.newToken(), recorded)
            return when (val error = store.accept(key, record, next.expected, next.replaced?.holder?.id).leftOrNull()) {
                null -> grant(StoredRecord(record, next.expected + 1))
                is PlatformError.NoAnswer -> null
                is PlatformError.ConditionFailed -> null
                is PlatformError.Unavailable -> {
                    unresolved = before
                    if (before == null && !hasSeenEarlierRequest) storeUnavailable() else null
                }
                is PlatformError.Invalid -> {
                    unresolved = before
                    refused(ErrorKind.Internal, "the table service rejected the record as invalid: ${error.detail}")
                }
            }
        }

        private fun grant(accepted: StoredRecord): OnceDecision.Run {
            unresolved = null
            return OnceDecision.Run(openTicket(key, accepted, false)).also { grantedDecision = it }
        }

        /**
         * Decides based on the record [found] in the table. Returns null if the call must continue, and sets [claim] if
         * the key can be claimed.
         */
        private suspend fun decideByRecord(found: StoredRecord?): OnceDecision? {
            claim = null
            if (found == null) {
                claim = Claim(0, 1, null)
                return null
            }
            val record = found.record
            if (record.tenure == tenure && record.state == OnceRecord.State.Accepted) {
                return grant(found)
            }
            // The row has a later version than the claim expects, so a delayed write of the claim fails.
            if (unresolved?.let { found.version > it.expected } == true) unresolved = null
            if (record.state == OnceRecord.State.Released) {
                claim = Claim(found.version, record.epoch + 1, null)
                return null
            }
            hasSeenEarlierRequest = true
            return if (record.request.matches(request)) decideByState(found) else keyReused()
        }

        private suspend fun decideByState(found: StoredRecord): OnceDecision? = when (val state = found.record.state) {
            is OnceRecord.State.Done -> state.toDecision()
            OnceRecord.State.Unknown -> outcomeUnknown("the outcome of an earlier run of this request is unknown")
            is OnceRecord.State.Dispatched, OnceRecord.State.Released -> null
            OnceRecord.State.Accepted -> {
                val holder = found.record.holder
                // A record of this instance without a ticket is a claim that took effect after its call had ended.
                if (holder.id == context.self.id || holderDirectory.isConfirmedDeparted(holder)) {
                    claim = Claim(found.version, found.record.epoch + 1, found.record)
                }
                null
            }
        }

        /** Ensures, in the background, that [lastClaim] leaves no record behind that an instance would run later. */
        private fun withdraw(lastClaim: Claim) {
            context.scope.launch {
                var retryDelay = OnceStore.MIN_RETRY_DELAY
                while (!tryWithdraw(lastClaim)) {
                    delay(retryDelay)
                    retryDelay = minOf(retryDelay * 2, OnceStore.MAX_RETRY_DELAY)
                }
            }
        }

        private suspend fun tryWithdraw(lastClaim: Claim): Boolean {
            val found = store.read(key).fold({ return false }, { it })
            val version = found?.version ?: 0
            val record = when {
                found?.record?.tenure == tenure && found.record.state == OnceRecord.State.Accepted -> found.record
                // The claim has not taken effect. This write advances the version, so that a delayed write of it fails.
                version == lastClaim.expected && (found == null || found.record.state == OnceRecord.State.Released) ->
                    OnceRecord(context.self, lastClaim.epoch, tenure, "", recorded)
                else -> return true
            }
            val released = record.copy(step = store.newToken(), state = OnceRecord.State.Released)
            return store.advance(key, released, version).isRight()
        }
    }

    private fun ServeRequest.remainingTime(): Duration = -deadline.elapsedNow()

    private companion object {
        const val EARLIER_REQUEST_PENDING = "an earlier request with this key has not ended by the deadline"

        // A sort key has at most 1,024 bytes, and the sort key of an index row also contains the workspace.
        const val MAX_KEY_CHARS = 255
    }
}

private fun OnceRecord.State.Done.toDecision(): OnceDecision = if (body == null) {
    val detail = "the request was answered with status $status; the answer was too large to be stored"
    OnceDecision.Refused(Problem(ErrorKind.OutcomeUnknown, detail, RunState.RAN))
} else {
    OnceDecision.Answered(StoredAnswer(status, contentType, body))
}

private fun refused(kind: ErrorKind, detail: String) = OnceDecision.Refused(Problem(kind, detail))

private fun keyReused() =
    refused(ErrorKind.KeyReused, "the Idempotency-Key was used for a request with another body, method or path")

private fun storeUnavailable() = refused(ErrorKind.StoreUnavailable, "the table service can't be reached")

private fun outcomeUnknown(detail: String) = refused(ErrorKind.OutcomeUnknown, detail)
