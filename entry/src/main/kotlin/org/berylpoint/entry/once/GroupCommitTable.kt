package org.berylpoint.entry.once

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.berylpoint.platform.PlatformError
import org.berylpoint.platform.Row
import org.berylpoint.platform.RowKey
import org.berylpoint.platform.RowWrite
import org.berylpoint.platform.TableService
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Group commit over [table]: concurrent calls of [transact] share one transaction.
 *
 * One transaction is in flight at a time, with at most [TableService.MAX_WRITES] writes, rate-limited by [pacer]. The
 * writes of one call stay atomic. If the condition of one call fails, the other calls of the transaction are sent
 * again without it.
 *
 * If a transaction gets no response, its outcome is determined by reading one of its rows and by repeating it, for at
 * most [OUTCOME_RESOLUTION_TIMEOUT]; after that its calls fail with [PlatformError.NoAnswer]. The read compares whole
 * values, so the value of a conditional put must contain a token that is unique to that write.
 */
public class GroupCommitTable(
    private val table: TableService,
    scope: CoroutineScope,
    private val time: TimeSource.WithComparableMarks,
    private val pacer: TransactionPacer = TransactionPacer(time),
) : TableService by table {
    private class PendingCall(val writes: List<RowWrite>) {
        val result = CompletableDeferred<Either<PlatformError, Unit>>()
        val chars = writes.sumOf { it.key.sort.length + ((it as? RowWrite.Put)?.value?.length ?: 0) }
    }

    private val queue = Channel<PendingCall>(Channel.UNLIMITED)

    init {
        scope.launch { commitQueuedCalls() }
    }

    override suspend fun transact(writes: List<RowWrite>): Either<PlatformError, Unit> {
        if (writes.isEmpty() || writes.size > TableService.MAX_WRITES) {
            val detail = "a transaction needs 1 to ${TableService.MAX_WRITES} writes, got ${writes.size}"
            return PlatformError.Invalid(detail).left()
        }
        val call = PendingCall(writes)
        queue.send(call)
        return call.result.await()
    }

    private suspend fun commitQueuedCalls() {
        val waiting = ArrayDeque<PendingCall>()
        while (true) {
            if (waiting.isEmpty()) waiting += queue.receive()
            pacer.awaitTurn()
            while (true) waiting += queue.tryReceive().getOrNull() ?: break
            commit(takeNextGroup(waiting))
        }
    }

    /** Removes the calls for one transaction from [waiting]; calls that conflict on a row stay for a later one. */
    private fun takeNextGroup(waiting: ArrayDeque<PendingCall>): List<PendingCall> {
        val group = mutableListOf<PendingCall>()
        val keys = mutableSetOf<RowKey>()
        var writes = 0
        var chars = 0
        for (call in waiting.toList()) {
            val hasNoConflict = call.writes.none { it.key in keys }
            // Includes the keys of calls that stay queued, so that calls on the same row keep their order.
            keys += call.writes.map { it.key }
            if (hasNoConflict) {
                writes += call.writes.size
                chars += call.chars
                if (group.isNotEmpty() && (writes > TableService.MAX_WRITES || chars > MAX_TRANSACTION_CHARS)) break
                group += call
            }
        }
        waiting -= group.toSet()
        return group
    }

    private suspend fun commit(group: List<PendingCall>) {
        var remaining = group
        while (remaining.isNotEmpty()) {
            val error = transactAndResolve(remaining.flatMap { it.writes }).leftOrNull()
            remaining = when {
                error == null -> remaining.completeAll(Unit.right())
                error is PlatformError.ConditionFailed -> remaining.failAndRemoveConflicting(error)
                error is PlatformError.Invalid && remaining.size > 1 -> {
                    // An invalid call must not fail the others, so each call is sent in its own transaction.
                    remaining.forEach { call ->
                        pacer.awaitTurn()
                        commit(listOf(call))
                    }
                    emptyList()
                }
                else -> remaining.completeAll(error.left())
            }
            if (remaining.isNotEmpty()) pacer.awaitTurn()
        }
    }

    private fun List<PendingCall>.completeAll(result: Either<PlatformError, Unit>): List<PendingCall> {
        forEach { it.result.complete(result) }
        return emptyList()
    }

    private fun List<PendingCall>.failAndRemoveConflicting(error: PlatformError.ConditionFailed): List<PendingCall> {
        var offset = 0
        return filter { call ->
            val range = offset until offset + call.writes.size
            offset = range.last + 1
            val failed = error.failed.filter { it in range }.map { it - range.first }
            if (failed.isNotEmpty()) call.result.complete(PlatformError.ConditionFailed(failed).left())
            failed.isEmpty()
        }
    }

    private suspend fun transactAndResolve(writes: List<RowWrite>): Either<PlatformError, Unit> {
        val first = table.transact(writes)
        return if (first.leftOrNull() is PlatformError.NoAnswer) resolveOutcome(writes) ?: first else first
    }

    /** Determines the outcome of a transaction that got no response; null if that fails within the timeout. */
    private suspend fun resolveOutcome(writes: List<RowWrite>): Either<PlatformError, Unit>? {
        val start = time.markNow()
        var retryDelay = MIN_RETRY_DELAY
        do {
            if (hasTakenEffect(writes)) return Unit.right()
            pacer.awaitTurn()
            val repeated = table.transact(writes)
            when (repeated.leftOrNull()) {
                // The outcome of the first attempt is still unknown.
                is PlatformError.Unavailable, is PlatformError.NoAnswer -> delay(retryDelay)
                // The first attempt may have taken effect between the read and the repeated transaction.
                is PlatformError.ConditionFailed -> return if (hasTakenEffect(writes)) Unit.right() else repeated
                is PlatformError.Invalid, null -> return repeated
            }
            retryDelay = minOf(retryDelay * 2, MAX_RETRY_DELAY)
        } while (start.elapsedNow() < OUTCOME_RESOLUTION_TIMEOUT)
        return null
    }

    private suspend fun hasTakenEffect(writes: List<RowWrite>): Boolean {
        val put = writes.firstNotNullOfOrNull { write -> (write as? RowWrite.Put)?.takeIf { it.expected != null } }
        val row: Row? = put?.let { table.get(it.key).getOrNull() }
        return row != null && row.version == (put.expected ?: 0) + 1 && row.value == put.value
    }

    public companion object {
        /** Limit on the time spent on determining the outcome of a transaction that got no response. */
        public val OUTCOME_RESOLUTION_TIMEOUT: Duration = 3.seconds

        private val MIN_RETRY_DELAY = 50.milliseconds
        private val MAX_RETRY_DELAY = 400.milliseconds

        // The table protocol limits a transaction to 4 MB; a character takes up to 3 bytes.
        private const val MAX_TRANSACTION_CHARS = 1_000_000
    }
}
