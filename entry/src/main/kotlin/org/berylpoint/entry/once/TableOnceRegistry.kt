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
 * At-most-once execution by one record per key in the table service.
 *
 * Each step is a write conditional on the step before: accepted, dispatched, done. A record that is only accepted
 * is taken over when its holder is confirmed gone or hands it over; one that is dispatched never runs again.
 *
 * Its writes to [table] share transactions, which [pacer] spaces; pass the pacer of the [RelayingTable] beneath, so
 * that the writes that are made for peers count too.
 */
public class TableOnceRegistry(
    private val context: NodeContext,
    private val view: StateFlow<MembershipView>,
    table: TableService,
    pacer: TransactionPacer = TransactionPacer(context.time),
) : OnceRegistry {
    private val grouped = GroupCommitTable(table, context.scope, context.time, pacer)
    private val store = OnceStore(grouped, context.random)
    private val held = mutableMapOf<KeyOf, TableOnceTicket>()
    private val beginning = mutableMapOf<KeyOf, CompletableDeferred<Unit>>()
    private val holders = HolderDirectory(context, view, grouped)
    private val takeOvers = RecordTakeover(context, view, store, holders, ::hold)

    /** Keys whose requests this instance has accepted and not dispatched. */
    public val keysAwaitingDispatch: List<KeyOf> get() = held.values.filter { it.isAwaitingDispatch }.map { it.key }

    /** Starts to look for accepted requests of instances that are gone; [runner] runs them. */
    public fun start(runner: AcceptedRequestRunner): Unit = takeOvers.start(runner)

    /** Leaves accepted requests to a live peer; those it does not take stay here. */
    public suspend fun handOver(): Unit = takeOvers.handOver(keysAwaitingDispatch)

    /** Takes over requests that a stopping instance leaves. */
    public suspend fun handle(message: PeerMessage.TakeOver): PeerMessage = takeOvers.handle(message)

    override suspend fun begin(request: ServeRequest): OnceDecision {
        val key = request.idempotencyKey?.let { KeyOf(request.workspace, it) }
        if (key == null || key.key.value.isBlank()) return refused(ErrorKind.KeyRequired, "no Idempotency-Key")
        if (key.key.value.length > MAX_KEY_CHARS) return refused(ErrorKind.MalformedRequest, "the key is too long")
        if (request.body.length > TableOnceTicket.MAX_STORED_CHARS) {
            return refused(ErrorKind.TooLarge, "a non-idempotent request has at most 60,000 characters")
        }
        // One call per key talks to the table; the others on this instance wait for it.
        while (true) {
            val other = beginning[key] ?: break
            withTimeoutOrNull(request.left()) { other.await() } ?: return outcomeUnknown(WAITED)
        }
        val done = CompletableDeferred<Unit>()
        beginning[key] = done
        try {
            return Beginning(request, key).decide()
        } finally {
            beginning.remove(key)
            done.complete(Unit)
        }
    }

    override suspend fun mayHaveRun(request: ServeRequest): Boolean {
        val key = KeyOf(request.workspace, request.idempotencyKey ?: return false)
        val read = withTimeoutOrNull(request.left()) { store.read(key) } ?: return true
        return read.fold({ true }, { it != null && it.record.state != OnceRecord.State.Released })
    }

    private fun hold(key: KeyOf, accepted: StoredRecord, keepsAcceptedOnAbandon: Boolean): TableOnceTicket {
        val ticket = TableOnceTicket(key, accepted, store, context.scope, keepsAcceptedOnAbandon) { held.remove(key, it) }
        held[key] = ticket
        return ticket
    }

    /** What to write to become the holder. */
    private data class Claim(val expected: Long, val epoch: Long, val over: OnceRecord?)

    /** One call of [begin] on its way through the table. */
    private inner class Beginning(private val request: ServeRequest, private val key: KeyOf) {
        private val tenure = store.newToken()
        private val recorded = RecordedRequest.of(request, key.key)
        private var claim: Claim? = Claim(0, 1, null)

        /** A claim that may have taken effect, or may yet. */
        private var unresolved: Claim? = null
        private var granted: OnceDecision.Run? = null
        private var hasSeenOther = false

        suspend fun decide(): OnceDecision {
            var decision: OnceDecision? = null
            try {
                // The timeout may discard a result that was ready at the same moment.
                decision = withTimeoutOrNull(request.left()) { decideInTime() } ?: granted ?: expired()
            } finally {
                // The caller was told that the outcome is unknown, or is gone: the request must not run later.
                if (decision !is OnceDecision.Run) unresolved?.let { withdraw(it) }
                if (decision == null) granted?.let { context.scope.launch { it.ticket.abandon() } }
            }
            return decision
        }

        private fun expired(): OnceDecision = when {
            unresolved != null -> outcomeUnknown("the table service gave no answer")
            hasSeenOther -> outcomeUnknown(WAITED)
            else -> refused(ErrorKind.DeadlineExceeded, "the deadline passed before the request was accepted")
        }

        private suspend fun decideInTime(): OnceDecision {
            var pause = OnceStore.MIN_RETRY_DELAY
            while (true) {
                awaitHeld()?.let { return it }
                claim?.let { next -> claim(next)?.let { return it } }
                val found = store.read(key).fold(
                    ifLeft = { null },
                    ifRight = { found -> decideBy(found)?.let { return it } ?: found },
                )
                if (claim == null || found == null) {
                    delay(pause)
                    pause = minOf(pause * 2, OnceStore.MAX_RETRY_DELAY)
                }
            }
        }

        /** Waits while this instance holds the key; null when it is free here. */
        private suspend fun awaitHeld(): OnceDecision? {
            val ticket = held[key] ?: return null
            hasSeenOther = true
            if (!ticket.record.request.matches(request)) return keyReused()
            return when (val ending = ticket.localOutcome.await()) {
                is LocalOutcome.Answered -> OnceDecision.Answered(ending.answer)
                LocalOutcome.Unknown -> outcomeUnknown("an earlier run of this request had an unknown outcome")
                LocalOutcome.NotRun -> null
            }
        }

        /** Tries to become the holder; null when the record must be read first. */
        private suspend fun claim(next: Claim): OnceDecision? {
            if (!holders.register()) return if (unresolved == null) storeUnavailable() else null
            val before = unresolved
            unresolved = next
            val record = OnceRecord(context.self, next.epoch, tenure, store.newToken(), recorded)
            return when (val error = store.accept(key, record, next.expected, next.over?.holder?.id).leftOrNull()) {
                null -> grant(StoredRecord(record, next.expected + 1))
                is PlatformError.NoAnswer -> null
                is PlatformError.ConditionFailed -> null
                is PlatformError.Unavailable -> {
                    unresolved = before
                    if (before == null && !hasSeenOther) storeUnavailable() else null
                }
                is PlatformError.Invalid -> {
                    unresolved = before
                    refused(ErrorKind.Internal, "the table service refused the record: ${error.detail}")
                }
            }
        }

        private fun grant(accepted: StoredRecord): OnceDecision.Run {
            unresolved = null
            return OnceDecision.Run(hold(key, accepted, false)).also { granted = it }
        }

        /** Decides by the record as read; null to go on, with the claim to try next, if any. */
        private suspend fun decideBy(found: StoredRecord?): OnceDecision? {
            claim = null
            if (found == null) {
                claim = Claim(0, 1, null)
                return null
            }
            val record = found.record
            if (record.tenure == tenure && record.state == OnceRecord.State.Accepted) {
                return grant(found)
            }
            // A row that is past the version the claim expects can't be claimed by a late write.
            if (unresolved?.let { found.version > it.expected } == true) unresolved = null
            if (record.state == OnceRecord.State.Released) {
                claim = Claim(found.version, record.epoch + 1, null)
                return null
            }
            hasSeenOther = true
            return if (record.request.matches(request)) decideByState(found) else keyReused()
        }

        private suspend fun decideByState(found: StoredRecord): OnceDecision? = when (val state = found.record.state) {
            is OnceRecord.State.Done -> state.toDecision()
            OnceRecord.State.Unknown -> outcomeUnknown("an earlier run of this request had an unknown outcome")
            is OnceRecord.State.Dispatched, OnceRecord.State.Released -> null
            OnceRecord.State.Accepted -> {
                val holder = found.record.holder
                // Held by this instance but unknown to it: a claim that took effect after its call had ended.
                if (holder.id == context.self.id || holders.isConfirmedDeparted(holder)) {
                    claim = Claim(found.version, found.record.epoch + 1, found.record)
                }
                null
            }
        }

        /** Sees to it that [last] does not leave a record behind that somebody would run later. */
        private fun withdraw(last: Claim) {
            context.scope.launch {
                var pause = OnceStore.MIN_RETRY_DELAY
                while (!tryWithdraw(last)) {
                    delay(pause)
                    pause = minOf(pause * 2, OnceStore.MAX_RETRY_DELAY)
                }
            }
        }

        private suspend fun tryWithdraw(last: Claim): Boolean {
            val found = store.read(key).fold({ return false }, { it })
            val version = found?.version ?: 0
            val record = when {
                found?.record?.tenure == tenure && found.record.state == OnceRecord.State.Accepted -> found.record
                // Not there yet: the version moves on, so that a late write fails.
                version == last.expected && (found == null || found.record.state == OnceRecord.State.Released) ->
                    OnceRecord(context.self, last.epoch, tenure, "", recorded)
                else -> return true
            }
            val released = record.copy(step = store.newToken(), state = OnceRecord.State.Released)
            return store.advance(key, released, version).isRight()
        }
    }

    private fun ServeRequest.left(): Duration = -deadline.elapsedNow()

    private companion object {
        const val WAITED = "an earlier request with this key has not ended by the deadline"

        // The sort key of a row has at most 1,024 bytes, and the index row's has the workspace too.
        const val MAX_KEY_CHARS = 255
    }
}

private fun OnceRecord.State.Done.toDecision(): OnceDecision = if (body == null) {
    val detail = "the request was answered with status $status; the answer was too large to be kept"
    OnceDecision.Refused(Problem(ErrorKind.OutcomeUnknown, detail, RunState.RAN))
} else {
    OnceDecision.Answered(StoredAnswer(status, contentType, body))
}

private fun refused(kind: ErrorKind, detail: String) = OnceDecision.Refused(Problem(kind, detail))

private fun keyReused() = refused(ErrorKind.KeyReused, "the Idempotency-Key belongs to a request with another body")

private fun storeUnavailable() = refused(ErrorKind.StoreUnavailable, "there is no path to the table service")

private fun outcomeUnknown(detail: String) = refused(ErrorKind.OutcomeUnknown, detail)
