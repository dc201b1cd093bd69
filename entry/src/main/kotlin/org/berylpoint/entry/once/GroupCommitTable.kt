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
 * Group commit over [table]: calls of [transact] that wait at the same time share one transaction.
 *
 * One transaction is in flight at a time, with at most [TableService.MAX_WRITES] writes, paced by [pacer]. The writes
 * of one call stay atomic. A failed condition of one call does not fail the others, which are sent again without it.
 *
 * A transaction without an answer is resolved by reading one of its rows back and by repeating it, for at most
 * [RESOLVE_FOR]; after that its calls end with [PlatformError.NoAnswer]. Reading back compares whole values, so the
 * values of conditional puts must contain a token that no other write contains.
 */
public class GroupCommitTable(
    private val table: TableService,
    scope: CoroutineScope,
    private val time: TimeSource.WithComparableMarks,
    private val pacer: TransactionPacer = TransactionPacer(time),
) : TableService by table {
    private class Call(val writes: List<RowWrite>) {
        val result = CompletableDeferred<Either<PlatformError, Unit>>()
        val chars = writes.sumOf { it.key.sort.length + ((it as? RowWrite.Put)?.value?.length ?: 0) }
    }

    private val queue = Channel<Call>(Channel.UNLIMITED)

    init {
        scope.launch { writeAll() }
    }

    override suspend fun transact(writes: List<RowWrite>): Either<PlatformError, Unit> {
        if (writes.isEmpty() || writes.size > TableService.MAX_WRITES) {
            return PlatformError.Invalid("${writes.size} writes in a transaction").left()
        }
        val call = Call(writes)
        queue.send(call)
        return call.result.await()
    }

    private suspend fun writeAll() {
        val waiting = ArrayDeque<Call>()
        while (true) {
            if (waiting.isEmpty()) waiting += queue.receive()
            pacer.awaitTurn()
            while (true) waiting += queue.tryReceive().getOrNull() ?: break
            commit(takeGroup(waiting))
        }
    }

    /** Takes the calls for one transaction; those that name a row of the group again stay in place for a later one. */
    private fun takeGroup(waiting: ArrayDeque<Call>): List<Call> {
        val group = mutableListOf<Call>()
        val keys = mutableSetOf<RowKey>()
        var writes = 0
        var chars = 0
        for (call in waiting.toList()) {
            val isFree = call.writes.none { it.key in keys }
            // Also those of a call that stays, so that calls on one row keep their order.
            keys += call.writes.map { it.key }
            if (isFree) {
                writes += call.writes.size
                chars += call.chars
                if (group.isNotEmpty() && (writes > TableService.MAX_WRITES || chars > MAX_CHARS)) break
                group += call
            }
        }
        waiting -= group.toSet()
        return group
    }

    private suspend fun commit(group: List<Call>) {
        var open = group
        while (open.isNotEmpty()) {
            val error = attempt(open.flatMap { it.writes }).leftOrNull()
            open = when {
                error == null -> open.complete(Unit.right())
                error is PlatformError.ConditionFailed -> open.withoutFailed(error)
                error is PlatformError.Invalid && open.size > 1 -> {
                    // One call's mistake must not fail the others: each is sent alone.
                    open.forEach { call ->
                        pacer.awaitTurn()
                        commit(listOf(call))
                    }
                    emptyList()
                }
                else -> open.complete(error.left())
            }
            if (open.isNotEmpty()) pacer.awaitTurn()
        }
    }

    private fun List<Call>.complete(result: Either<PlatformError, Unit>): List<Call> {
        forEach { it.result.complete(result) }
        return emptyList()
    }

    private fun List<Call>.withoutFailed(error: PlatformError.ConditionFailed): List<Call> {
        var offset = 0
        return filter { call ->
            val range = offset until offset + call.writes.size
            offset = range.last + 1
            val failed = error.failed.filter { it in range }.map { it - range.first }
            if (failed.isNotEmpty()) call.result.complete(PlatformError.ConditionFailed(failed).left())
            failed.isEmpty()
        }
    }

    private suspend fun attempt(writes: List<RowWrite>): Either<PlatformError, Unit> {
        val first = table.transact(writes)
        return if (first.leftOrNull() is PlatformError.NoAnswer) resolve(writes) ?: first else first
    }

    /** The outcome of a transaction without an answer, or null when it can't be found out in time. */
    private suspend fun resolve(writes: List<RowWrite>): Either<PlatformError, Unit>? {
        val start = time.markNow()
        var pause = RESOLVE_PAUSE
        do {
            if (hasTakenEffect(writes)) return Unit.right()
            pacer.awaitTurn()
            val repeated = table.transact(writes)
            when (repeated.leftOrNull()) {
                // Nothing is known about the first attempt yet.
                is PlatformError.Unavailable, is PlatformError.NoAnswer -> delay(pause)
                // The first attempt may have taken effect between the reading and the repeat.
                is PlatformError.ConditionFailed -> return if (hasTakenEffect(writes)) Unit.right() else repeated
                is PlatformError.Invalid, null -> return repeated
            }
            pause = minOf(pause * 2, RESOLVE_PAUSE_MAX)
        } while (start.elapsedNow() < RESOLVE_FOR)
        return null
    }

    private suspend fun hasTakenEffect(writes: List<RowWrite>): Boolean {
        val put = writes.firstNotNullOfOrNull { write -> (write as? RowWrite.Put)?.takeIf { it.expected != null } }
        val row: Row? = put?.let { table.get(it.key).getOrNull() }
        return row != null && row.version == (put.expected ?: 0) + 1 && row.value == put.value
    }

    public companion object {
        /** Time for which the outcome of a transaction without an answer is looked for. */
        public val RESOLVE_FOR: Duration = 3.seconds

        private val RESOLVE_PAUSE = 50.milliseconds
        private val RESOLVE_PAUSE_MAX = 400.milliseconds

        // The protocol's limit is 4 MB; a character takes up to 3 bytes.
        private const val MAX_CHARS = 1_000_000
    }
}
