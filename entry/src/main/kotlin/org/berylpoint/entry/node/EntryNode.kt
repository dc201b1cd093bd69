package org.berylpoint.entry.node

import org.berylpoint.entry.backend.LiveServerDirectory
import org.berylpoint.entry.catalogue.CatalogueSync
import org.berylpoint.entry.http.StateDump
import org.berylpoint.entry.http.StateDumpService
import org.berylpoint.entry.judgement.PooledJudge
import org.berylpoint.entry.member.DomainEpochs
import org.berylpoint.entry.member.Membership
import org.berylpoint.entry.once.RelayingTable
import org.berylpoint.entry.once.TableOnceRegistry
import org.berylpoint.entry.ownership.LimitKeeper
import org.berylpoint.entry.ownership.PeerReservations
import org.berylpoint.entry.pipeline.Pipeline
import org.berylpoint.entry.pipeline.ServingPipeline
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.InstanceId
import org.berylpoint.model.Problem
import org.berylpoint.peer.PeerMessage
import org.berylpoint.policy.Rendezvous
import kotlin.time.Duration

/**
 * The logic of one entry instance: its components, put together over a [NodeContext].
 *
 * The same object runs in a process over sockets and in tests over in-memory links and virtual time.
 */
public class EntryNode(outside: NodeContext) {
    /** The entry instances that this one knows. */
    public val membership: Membership = Membership(outside)

    private val table = RelayingTable(outside, membership.view)
    private val context = outside.withTable(table)

    /** The configuration in force. */
    public val catalogue: CatalogueSync = CatalogueSync(context, membership.view, table)

    /** The backend servers that are known. */
    public val directory: LiveServerDirectory = LiveServerDirectory(context, catalogue)

    /** The member lists of the failure domains, which decide who owns a backend server. */
    public val epochs: DomainEpochs = DomainEpochs(context, membership.view, membership::confirmGone)

    /** Counts the requests in flight on the backend servers that this instance owns. */
    public val keeper: LimitKeeper = LimitKeeper(context, membership.view, epochs, directory)

    private val reservations = PeerReservations(context, membership.view, epochs, directory, keeper)
    private val once = TableOnceRegistry(context, membership.view, table, table.pacer)

    /** Evidence on versions, routes and requests. */
    public val judge: PooledJudge = PooledJudge(context, membership.view, catalogue, ::isFirst)

    private val serving = ServingPipeline(context, catalogue, directory, reservations, once, judge)

    /** The way of a request through this instance. */
    public val pipeline: Pipeline get() = serving

    /** Requests that run or wait here. */
    public val inFlight: Int get() = serving.inFlight

    /** Why this instance takes no requests now; null when it does. */
    public fun readinessProblem(): Problem? = when {
        isStopping -> Problem(ErrorKind.ShuttingDown, "the instance is shutting down")
        catalogue.current.value == null -> Problem(ErrorKind.NotReady, "no catalogue is known yet")
        else -> null
    }

    /** The states of all components, for operators. */
    public val dumps: StateDumpService = StateDumpService(outside.self, outside.peers) { dumped }

    @Volatile
    private var isStopping = false
    private val dumped: List<StateDump> = listOf(
        catalogue,
        memberDump { membership.view.value },
        epochDump { epochs.current.value.values },
        pipelineDump { serving.inFlight },
    )

    init {
        listOf(table, catalogue, epochs, keeper, judge).forEach { membership.attach(it) }
    }

    /** Starts all components; the peers' messages are answered from now on. */
    public fun start(outside: NodeContext) {
        outside.peers.serve { from, message -> handle(from, message) }
        table.start()
        membership.start()
        catalogue.start()
        directory.start()
        epochs.start()
        keeper.start()
        reservations.start()
        once.start(serving::runAccepted)
        judge.start()
    }

    /**
     * Stops gracefully within [notice]: refuses new requests, lets the running ones end, hands owned backend servers
     * and accepted requests over, and leaves.
     */
    public suspend fun stop(notice: Duration) {
        isStopping = true
        keeper.stop()
        epochs.leave()
        serving.drain(notice)
        once.handOver()
        membership.leave()
    }

    private suspend fun handle(from: InstanceId, message: PeerMessage): PeerMessage = membership.handle(message)
        ?: keeper.handle(from, message)
        ?: catalogue.handle(from, message)
        ?: dumps.handle(message)
        ?: (message as? PeerMessage.TakeOver)?.let { once.handle(it) }
        ?: (message as? PeerMessage.CrashNotice)?.let { judge.handle(it) }
        ?: (message as? PeerMessage.TableRelay)?.let { table.handle(it) }
        ?: PeerMessage.Refusal("no component answers ${message::class.simpleName}")

    // Two instances that both take themselves for the first do no harm: the catalogue refuses the second update.
    private fun isFirst(): Boolean =
        Rendezvous.first(JUDGE, membership.view.value.alive) { it.id.value }?.id == context.self.id

    private companion object {
        const val JUDGE = "judge"
    }
}
