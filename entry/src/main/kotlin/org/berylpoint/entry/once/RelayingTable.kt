package org.berylpoint.entry.once

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.berylpoint.entry.member.HeartbeatExtension
import org.berylpoint.entry.member.MembershipView
import org.berylpoint.entry.node.NodeContext
import org.berylpoint.model.Instance
import org.berylpoint.model.InstanceId
import org.berylpoint.peer.PeerError
import org.berylpoint.peer.PeerMessage.Heartbeat
import org.berylpoint.peer.PeerMessage.TableRelay
import org.berylpoint.peer.PeerMessage.TableRelayed
import org.berylpoint.platform.PlatformError
import org.berylpoint.platform.Row
import org.berylpoint.platform.RowKey
import org.berylpoint.platform.RowWrite
import org.berylpoint.platform.TableCall
import org.berylpoint.platform.TableResult
import org.berylpoint.platform.TableService
import org.berylpoint.policy.Rendezvous
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/**
 * The table service, through a peer while this instance can't reach the platform itself.
 *
 * Heartbeats tell which peers reach it; peers in the own failure domain come first. A call is tried directly, then
 * through at most [RELAYS_TRIED] peers while it is certain that it took no effect. It makes the calls of peers too,
 * but never passes a relayed call on, so that calls can't go round in circles.
 *
 * In a failure domain with more than [ALL_WRITE_UP_TO] instances only [WRITERS] of them, the first by rendezvous
 * hashing, write directly; the others write through them, so that the number of transactions does not grow with the
 * fleet.
 */
public class RelayingTable(
    private val context: NodeContext,
    private val view: StateFlow<MembershipView>,
    /** Spaces the transactions that are made for peers. */
    public val pacer: TransactionPacer = TransactionPacer(context.time),
) : TableService,
    HeartbeatExtension {
    private val direct = context.table
    private val forPeers = GroupCommitTable(direct, context.scope, context.time, pacer)
    private val relays = mutableMapOf<InstanceId, ComparableTimeMark>()
    private val avoided = mutableMapOf<InstanceId, ComparableTimeMark>()
    private var lastReached: ComparableTimeMark? = null
    private var lastFailed: ComparableTimeMark? = null

    /** Whether this instance reached the table service itself within [REACH_VALID]. */
    public val reachesTable: Boolean get() = lastReached.isWithin(REACH_VALID) && !isFailing()

    /** Starts to probe the table service while no other call shows whether it can be reached. */
    public fun start() {
        context.scope.launch {
            while (isActive) {
                // Others don't relay, and the probes of a large fleet would use up the table service's reads.
                if (isWriter() && !lastReached.isWithin(PROBE_INTERVAL)) directly(TableCall.Get(PROBE_ROW))
                delay(PROBE_INTERVAL)
            }
        }
    }

    override fun fill(heartbeat: Heartbeat): Heartbeat = heartbeat.copy(reachesTable = reachesTable)

    override fun receive(heartbeat: Heartbeat, ageMillis: Long) {
        val id = heartbeat.sender.id
        if (heartbeat.reachesTable) {
            relays[id] = context.time.markNow() - ageMillis.milliseconds
        } else {
            relays.remove(id)
        }
    }

    override suspend fun get(key: RowKey): Either<PlatformError, Row?> =
        call(TableCall.Get(key)).rows().map { it.firstOrNull() }

    override suspend fun query(partition: String, after: String, limit: Int): Either<PlatformError, List<Row>> =
        call(TableCall.Query(partition, after, limit)).rows()

    override suspend fun transact(writes: List<RowWrite>): Either<PlatformError, Unit> =
        when (val result = call(TableCall.Transact(writes))) {
            is TableResult.Failed -> result.error.left()
            else -> Unit.right()
        }

    /** Makes a peer's call; refused when this instance does not reach the table service itself. */
    public suspend fun handle(message: TableRelay): TableRelayed {
        val call = try {
            json.decodeFromString(TableCall.serializer(), message.call)
        } catch (e: SerializationException) {
            return TableResult.Failed(PlatformError.Invalid("unreadable call: ${e.message}")).toMessage()
        }
        if (!reachesTable) return TableResult.Failed(PlatformError.Unavailable("no direct path")).toMessage()
        val result = when (call) {
            is TableCall.Transact -> forPeers.transact(call.writes).fold({
                TableResult.Failed(it)
            }, { TableResult.Done })
            else -> directly(call)
        }
        return result.toMessage()
    }

    private suspend fun call(call: TableCall): TableResult {
        val passesOn = call is TableCall.Transact && !isWriter()
        val relayFirst = (isFailing() || passesOn) && candidates().isNotEmpty()
        if (!relayFirst) {
            val result = directly(call)
            if (!mayTryNext(call, result)) return result
        }
        for (peer in candidates().take(RELAYS_TRIED)) {
            val result = through(peer, call)
            if (!mayTryNext(call, result)) return result
        }
        return if (relayFirst) directly(call) else unavailable("no path to the table service")
    }

    /** Whether another path may be tried: nothing took effect, or the call only reads. */
    private fun mayTryNext(call: TableCall, result: TableResult): Boolean {
        val error = (result as? TableResult.Failed)?.error ?: return false
        return error is PlatformError.Unavailable || error is PlatformError.NoAnswer && call !is TableCall.Transact
    }

    private suspend fun directly(call: TableCall): TableResult {
        val result = when (call) {
            is TableCall.Get -> direct.get(call.key).map { TableResult.Rows(listOfNotNull(it)) }
            is TableCall.Query -> direct.query(call.partition, call.after, call.limit).map { TableResult.Rows(it) }
            is TableCall.Transact -> direct.transact(call.writes).map { TableResult.Done }
        }
        val error = result.leftOrNull()
        if (error is PlatformError.Unavailable || error is PlatformError.NoAnswer) {
            if (!isFailing()) log.warn { "once: the table service can't be reached: $error" }
            lastFailed = context.time.markNow()
        } else {
            lastReached = context.time.markNow()
            lastFailed = null
        }
        return result.fold({ TableResult.Failed(it) }, { it })
    }

    private suspend fun through(peer: Instance, call: TableCall): TableResult {
        val message = TableRelay(json.encodeToString(TableCall.serializer(), call))
        return context.peers.call(peer.peerAddress, message, RELAY_TIMEOUT).fold(
            ifLeft = { error ->
                avoided[peer.id] = context.time.markNow()
                when (error) {
                    is PeerError.Refused -> unavailable("${peer.id}: $error")
                    // A peer that fails while it answers may have made the call.
                    is PeerError.TimedOut, is PeerError.Broken, is PeerError.Rejected ->
                        TableResult.Failed(PlatformError.NoAnswer("through ${peer.id}: $error"))
                }
            },
            ifRight = { answer ->
                val result = (answer as? TableRelayed)?.toResult() ?: unavailable("${peer.id} does not relay")
                if (result is TableResult.Failed && result.error is PlatformError.Unavailable) {
                    avoided[peer.id] = context.time.markNow()
                }
                result
            },
        )
    }

    private fun candidates(): List<Instance> {
        val self = context.self
        val writers = writers()
        return view.value.alive
            // In a large fleet few heartbeats come from the writers, so that their state is not known.
            .filter { relays[it.id].isWithin(REACH_VALID) || it in writers }
            .filter { it.id != self.id && !avoided[it.id].isWithin(AVOID_FOR) }
            .shuffled(context.random)
            .sortedWith(compareBy({ it !in writers }, { it.failureDomain != self.failureDomain }))
    }

    /** The instances of the own failure domain that write directly; empty while all do. */
    private fun writers(): List<Instance> {
        val own = view.value.aliveIn(context.self.failureDomain)
        if (own.size <= ALL_WRITE_UP_TO) return emptyList()
        return Rendezvous.ranked(WRITERS_KEY, own) { it.id.value }.take(WRITERS)
    }

    private fun isWriter(): Boolean = writers().let { it.isEmpty() || context.self in it }

    // A path that failed is tried again after a while; until then calls don't wait for its timeout.
    private fun isFailing(): Boolean = lastFailed.isWithin(AVOID_FOR)

    private fun ComparableTimeMark?.isWithin(limit: Duration): Boolean = this != null && elapsedNow() <= limit

    public companion object {
        /** How long a successful call shows that the table service can be reached. */
        public val REACH_VALID: Duration = 5.seconds

        /** Wait for the answer of a peer, which itself waits for the table service. */
        public val RELAY_TIMEOUT: Duration = 4.seconds

        /** Instances in a failure domain up to which all of them write directly. */
        public const val ALL_WRITE_UP_TO: Int = 8

        /** Instances that write directly in a larger failure domain. */
        public const val WRITERS: Int = 2

        private const val WRITERS_KEY = "table writers"
        private val PROBE_INTERVAL = 2.seconds
        private val AVOID_FOR = 2.seconds
        private const val RELAYS_TRIED = 3
        private val PROBE_ROW = RowKey("probe", "probe")
    }
}

private val json = Json

private fun unavailable(detail: String) = TableResult.Failed(PlatformError.Unavailable(detail))

private fun TableResult.toMessage() = TableRelayed(json.encodeToString(TableResult.serializer(), this))

private fun TableRelayed.toResult(): TableResult = try {
    json.decodeFromString(TableResult.serializer(), result)
} catch (e: SerializationException) {
    TableResult.Failed(PlatformError.NoAnswer("unreadable answer: ${e.message}"))
}

private fun TableResult.rows(): Either<PlatformError, List<Row>> = when (this) {
    is TableResult.Rows -> rows.right()
    is TableResult.Failed -> error.left()
    is TableResult.Done -> PlatformError.NoAnswer("an answer without rows").left()
}
