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
 * A table service client that relays calls through a peer while this instance can't reach the platform itself.
 *
 * Heartbeats advertise which peers reach the table service; peers in the own failure domain are preferred. A call is
 * tried directly and then through at most [MAX_RELAY_ATTEMPTS] peers. A read may be tried again after any failure to
 * get an answer, a write only if it certainly had no effect. This instance also performs calls for its peers, but
 * never relays a relayed call again, which rules out loops.
 *
 * In a failure domain with more than [MAX_DIRECT_WRITERS] instances only the first [DESIGNATED_WRITERS] by rendezvous
 * hashing write directly; the others write through them, so that the number of transactions does not grow with the
 * fleet.
 */
public class RelayingTable(
    private val context: NodeContext,
    private val view: StateFlow<MembershipView>,
    /** Limits the rate of the transactions performed for peers. */
    public val pacer: TransactionPacer = TransactionPacer(context.time),
) : TableService,
    HeartbeatExtension {
    private val direct = context.table
    private val relayedWrites = GroupCommitTable(direct, context.scope, context.time, pacer)
    private val relayLastSeen = mutableMapOf<InstanceId, ComparableTimeMark>()
    private val relayLastFailed = mutableMapOf<InstanceId, ComparableTimeMark>()
    private var lastDirectSuccess: ComparableTimeMark? = null
    private var lastDirectFailure: ComparableTimeMark? = null

    /** Whether a direct call succeeded within [REACHABILITY_VALIDITY] and none has failed since. */
    public val reachesTable: Boolean get() = lastDirectSuccess.isWithin(REACHABILITY_VALIDITY) && !isFailing()

    /** Starts to probe the table service whenever no other call has recently shown that it can be reached. */
    public fun start() {
        context.scope.launch {
            while (isActive) {
                // Only writers relay calls, and probes by all of a large fleet would use up the table's read capacity.
                if (isWriter() && !lastDirectSuccess.isWithin(PROBE_INTERVAL)) callDirectly(TableCall.Get(PROBE_ROW))
                delay(PROBE_INTERVAL)
            }
        }
    }

    override fun fill(heartbeat: Heartbeat): Heartbeat = heartbeat.copy(reachesTable = reachesTable)

    override fun receive(heartbeat: Heartbeat, ageMillis: Long) {
        val id = heartbeat.sender.id
        if (heartbeat.reachesTable) {
            relayLastSeen[id] = context.time.markNow() - ageMillis.milliseconds
        } else {
            relayLastSeen.remove(id)
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

    /** Performs the call of a peer; refuses it if this instance does not reach the table service itself. */
    public suspend fun handle(message: TableRelay): TableRelayed {
        val call = try {
            json.decodeFromString(TableCall.serializer(), message.call)
        } catch (e: SerializationException) {
            val error = PlatformError.Invalid("relayed table call could not be decoded: ${e.message}")
            return TableResult.Failed(error).toMessage()
        }
        if (!reachesTable) return unavailable("the relay has no direct path to the table service").toMessage()
        val result = when (call) {
            is TableCall.Transact -> relayedWrites.transact(call.writes).fold({
                TableResult.Failed(it)
            }, { TableResult.Done })
            else -> callDirectly(call)
        }
        return result.toMessage()
    }

    private suspend fun call(call: TableCall): TableResult {
        val needsWriter = call is TableCall.Transact && !isWriter()
        val relayFirst = (isFailing() || needsWriter) && relayCandidates().isNotEmpty()
        if (!relayFirst) {
            val result = callDirectly(call)
            if (!mayTryNext(call, result)) return result
        }
        for (peer in relayCandidates().take(MAX_RELAY_ATTEMPTS)) {
            val result = callThrough(peer, call)
            if (!mayTryNext(call, result)) return result
        }
        return if (relayFirst) callDirectly(call) else unavailable("no direct or relayed path to the table service")
    }

    /** Whether another path may be tried: the call had no effect, or it only reads. */
    private fun mayTryNext(call: TableCall, result: TableResult): Boolean {
        val error = (result as? TableResult.Failed)?.error ?: return false
        return error is PlatformError.Unavailable || error is PlatformError.NoAnswer && call !is TableCall.Transact
    }

    private suspend fun callDirectly(call: TableCall): TableResult {
        val result = when (call) {
            is TableCall.Get -> direct.get(call.key).map { TableResult.Rows(listOfNotNull(it)) }
            is TableCall.Query -> direct.query(call.partition, call.after, call.limit).map { TableResult.Rows(it) }
            is TableCall.Transact -> direct.transact(call.writes).map { TableResult.Done }
        }
        val error = result.leftOrNull()
        if (error is PlatformError.Unavailable || error is PlatformError.NoAnswer) {
            if (!isFailing()) log.warn { "once: direct call to the table service failed: $error" }
            lastDirectFailure = context.time.markNow()
        } else {
            lastDirectSuccess = context.time.markNow()
            lastDirectFailure = null
        }
        return result.fold({ TableResult.Failed(it) }, { it })
    }

    private suspend fun callThrough(peer: Instance, call: TableCall): TableResult {
        val message = TableRelay(json.encodeToString(TableCall.serializer(), call))
        return context.peers.call(peer.peerAddress, message, RELAY_TIMEOUT).fold(
            ifLeft = { error ->
                relayLastFailed[peer.id] = context.time.markNow()
                when (error) {
                    is PeerError.Refused -> unavailable("peer ${peer.id} refused the connection: $error")
                    // A peer that accepted the connection may have performed the call before the failure.
                    is PeerError.TimedOut, is PeerError.Broken, is PeerError.Rejected ->
                        TableResult.Failed(PlatformError.NoAnswer("relayed call through ${peer.id} failed: $error"))
                }
            },
            ifRight = { answer ->
                val result =
                    (answer as? TableRelayed)?.toResult() ?: unavailable("peer ${peer.id} does not relay table calls")
                if (result is TableResult.Failed && result.error is PlatformError.Unavailable) {
                    relayLastFailed[peer.id] = context.time.markNow()
                }
                result
            },
        )
    }

    private fun relayCandidates(): List<Instance> {
        val self = context.self
        val writers = writers()
        return view.value.alive
            // In a large fleet few heartbeats come from the writers, so their reachability may be unknown.
            .filter { relayLastSeen[it.id].isWithin(REACHABILITY_VALIDITY) || it in writers }
            .filter { it.id != self.id && !relayLastFailed[it.id].isWithin(FAILED_PATH_BACKOFF) }
            .shuffled(context.random)
            .sortedWith(compareBy({ it !in writers }, { it.failureDomain != self.failureDomain }))
    }

    /** The instances of the own failure domain that write directly; empty if all of them do. */
    private fun writers(): List<Instance> {
        val own = view.value.aliveIn(context.self.failureDomain)
        if (own.size <= MAX_DIRECT_WRITERS) return emptyList()
        return Rendezvous.ranked(WRITER_RANKING_KEY, own) { it.id.value }.take(DESIGNATED_WRITERS)
    }

    private fun isWriter(): Boolean = writers().let { it.isEmpty() || context.self in it }

    // While the direct path counts as failing, calls do not wait for its timeout; it is retried after the interval.
    private fun isFailing(): Boolean = lastDirectFailure.isWithin(FAILED_PATH_BACKOFF)

    private fun ComparableTimeMark?.isWithin(limit: Duration): Boolean = this != null && elapsedNow() <= limit

    public companion object {
        /** Time for which a successful call proves that the table service can be reached. */
        public val REACHABILITY_VALIDITY: Duration = 5.seconds

        /** Timeout of a relayed call, which includes the peer's own wait for the table service. */
        public val RELAY_TIMEOUT: Duration = 4.seconds

        /** Size of a failure domain up to which all of its instances write directly. */
        public const val MAX_DIRECT_WRITERS: Int = 8

        /** Number of instances that write directly in a larger failure domain. */
        public const val DESIGNATED_WRITERS: Int = 2

        private const val WRITER_RANKING_KEY = "table writers"
        private val PROBE_INTERVAL = 2.seconds
        private val FAILED_PATH_BACKOFF = 2.seconds
        private const val MAX_RELAY_ATTEMPTS = 3
        private val PROBE_ROW = RowKey("probe", "probe")
    }
}

private val json = Json

private fun unavailable(detail: String) = TableResult.Failed(PlatformError.Unavailable(detail))

private fun TableResult.toMessage() = TableRelayed(json.encodeToString(TableResult.serializer(), this))

private fun TableRelayed.toResult(): TableResult = try {
    json.decodeFromString(TableResult.serializer(), result)
} catch (e: SerializationException) {
    TableResult.Failed(PlatformError.NoAnswer("relayed table answer could not be decoded: ${e.message}"))
}

private fun TableResult.rows(): Either<PlatformError, List<Row>> = when (this) {
    is TableResult.Rows -> rows.right()
    is TableResult.Failed -> error.left()
    is TableResult.Done -> PlatformError.NoAnswer("the relayed answer to a read contains no rows").left()
}
