package org.berylpoint.entry.gateway.duty

import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.site.SiteState
import org.berylpoint.model.VersionName
import org.berylpoint.model.serving.RolloutId
import org.berylpoint.model.serving.RolloutState
import org.berylpoint.model.serving.ServiceName
import org.berylpoint.platform.store.RowCondition
import org.berylpoint.platform.store.StoreClient
import org.berylpoint.platform.store.StoreCommit
import org.berylpoint.platform.store.StoreError
import org.berylpoint.platform.store.StoreRevision
import org.berylpoint.platform.store.StoreRows
import org.berylpoint.platform.wire.RolloutStatus
import org.berylpoint.platform.wire.StoreNames

/**
 * The decisions on rollouts as the store has them: one row for each service.
 *
 * A row is written only over the state that was read, and while the order that it is for is the one in the store. So a
 * write that is late, or of a holder that was suspended, can't undo a decision. Not safe for use by several threads at
 * once.
 */
internal class RolloutDecisions(
    private val store: StoreClient,
    private val site: SiteState,
    private val clocks: Clocks,
    private val log: DecisionLog,
) {
    private class StatusRow(val status: RolloutStatus?, val revision: StoreRevision)

    /** The rows read last, by service; null while a read is needed. */
    private var rows: Map<String, StatusRow>? = null
    private var readEra = 0L
    private var nextReadAtMillis = 0L

    /** Offset from this process's steady clock to the store's. */
    private var storeClockOffsetMillis = 0L

    /** What the last write took. */
    var lastCallMillis = 0L
        private set

    /** Whether the rows are known as they are in the newest era of the store. */
    val isRead: Boolean get() = rows != null && readEra == site.eras.current

    /** Reads the rows unless that has just failed; returns whether they were read. */
    suspend fun read(): Boolean {
        if (clocks.steadyMillis < nextReadAtMillis) return false
        return store.read(StoreNames.STATUS).fold(
            ifLeft = {
                nextReadAtMillis = clocks.steadyMillis + RETRY_MILLIS
                log.event("rollout", "reading the rollout states failed", "cause" to it)
                false
            },
            ifRight = {
                record(it)
                true
            },
        )
    }

    private fun record(read: StoreRows) {
        readEra = read.revision.era
        storeClockOffsetMillis = read.clockMillis - clocks.steadyMillis
        rows = read.rows.filter { StoreNames.isRollout(it.key) }
            .associate { it.key to StatusRow(RolloutStatus.decode(it.value), it.revision) }
    }

    /** The status of [rollout] in the store; null if it has none or that of another order. */
    fun statusOf(rollout: TrackedRollout): RolloutStatus? {
        val row = rows?.get(StoreNames.rolloutKey(rollout.order.service)) ?: return null
        return row.status?.takeIf { it.to == rollout.order.to && isFor(rollout, it, row.revision) }
    }

    private fun isFor(rollout: TrackedRollout, status: RolloutStatus, revision: StoreRevision): Boolean {
        val order = status.order
        if (order != null) return order == rollout.id || status.orderRow == rollout.order.id
        // A build that names no order has written it, so it is for an order that is older than the row.
        val orderRow = orderRow(rollout.order.service)?.revision ?: return false
        return revision.era == orderRow.era && revision.number > orderRow.number
    }

    /** Steady-clock time at which the order of [status] was first seen; null if the store's clock doesn't tell. */
    fun startMillis(status: RolloutStatus): Long? {
        val writtenIn = status.orderRow ?: status.order
        // A restored store may have another clock.
        if (writtenIn?.era != site.eras.current) return null
        return status.startedAtMillis?.let { it - storeClockOffsetMillis }
    }

    /** Whether the store has to be told that [rollout] is in [state]. */
    fun needsWrite(rollout: TrackedRollout, state: RolloutState): Boolean {
        val status = statusOf(rollout) ?: return true
        return status.state != state || (status.orderRow != null && status.orderRow != rowId(rollout))
    }

    private fun orderRow(service: ServiceName) = site.view.rolloutRows[service]

    private fun rowId(rollout: TrackedRollout): RolloutId? =
        orderRow(rollout.order.service)?.revision?.let { RolloutId(it.number, it.era) }

    /**
     * Writes that [rollout] is in [state], decided by the instance [decidedBy]; returns whether the store has it now. A
     * state that it had before a restore is written again although the operators may not have written the order again.
     * [barred] are versions of earlier orders that must not get requests.
     */
    suspend fun write(
        rollout: TrackedRollout,
        state: RolloutState,
        decidedBy: String,
        barred: Set<VersionName>,
    ): Boolean {
        val service = rollout.order.service
        val row = rows?.get(StoreNames.rolloutKey(service))
        val isAgain = rollout.storedState == state
        val status = RolloutStatus(
            to = rollout.order.to,
            state = state,
            order = rollout.id,
            orderRow = rowId(rollout),
            startedAtMillis = rollout.startedAtMillis + storeClockOffsetMillis,
            decidedBy = decidedBy,
            barred = barred,
        )
        val known = RowCondition(StoreNames.STATUS, StoreNames.rolloutKey(service), row?.revision?.number ?: 0)
        val ordered = orderRow(service)?.takeUnless { isAgain }
            ?.let { RowCondition(StoreNames.OPERATORS, StoreNames.rolloutKey(service), it.revision.number) }
        val calledAt = clocks.steadyMillis
        val result = store.commit(listOfNotNull(known, ordered), listOf(StoreNames.rolloutStatus(service, status)))
        lastCallMillis = clocks.steadyMillis - calledAt
        return result.fold(
            ifLeft = { onFailed(rollout, state, it) },
            ifRight = { onWritten(rollout, status, it, isAgain) },
        )
    }

    private fun onFailed(rollout: TrackedRollout, state: RolloutState, error: StoreError): Boolean {
        // Whatever the error is, the row may have changed.
        rows = null
        log.event(
            "rollout",
            "writing the rollout state failed",
            "service" to rollout.order.service.value,
            "state" to state.name,
            "cause" to error,
        )
        return false
    }

    private fun onWritten(
        rollout: TrackedRollout,
        status: RolloutStatus,
        commit: StoreCommit,
        isAgain: Boolean,
    ): Boolean {
        log.event(
            "rollout",
            "the rollout state is written",
            "service" to rollout.order.service.value,
            "to" to rollout.order.to.value,
            "order" to rollout.id,
            "state" to status.state.name,
            "by" to status.decidedBy,
            "revision" to commit.revision,
            "again" to isAgain,
        )
        val key = StoreNames.rolloutKey(rollout.order.service)
        rollout.storedState = status.state
        // The numbers of the conditions were read in another era, in which they may have been issued again.
        rows = if (commit.revision.era == readEra) rows?.plus(key to StatusRow(status, commit.revision)) else null
        return rows != null
    }

    private companion object {
        /** Time between two reads while the store fails them. */
        const val RETRY_MILLIS = 500L
    }
}
