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
import org.berylpoint.entry.ownership.PeerReservations
import org.berylpoint.entry.ownership.ServerConcurrencyLimiter
import org.berylpoint.entry.pipeline.Pipeline
import org.berylpoint.entry.pipeline.ServingPipeline
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.InstanceId
import org.berylpoint.model.Problem
import org.berylpoint.peer.PeerMessage
import org.berylpoint.policy.Rendezvous
import kotlin.time.Duration

/**
 * The components of one entry instance, wired together on a [NodeContext].
 *
 * A process runs it on sockets; tests run it on in-memory links and virtual time.
 */
public class EntryNode(baseContext: NodeContext) {
    /** Membership of the entry instances. */
    public val membership: Membership = Membership(baseContext)

    private val table = RelayingTable(baseContext, membership.view)
    private val context = baseContext.withTable(table)

    /** The current catalogue and its updates. */
    public val catalogue: CatalogueSync = CatalogueSync(context, membership.view, table)

    /** Directory of the backend servers. */
    public val directory: LiveServerDirectory = LiveServerDirectory(context, catalogue)

    /** Member lists of the failure domains, which determine the owner of each backend server. */
    public val epochs: DomainEpochs = DomainEpochs(context, membership.view, membership::markDeparted)

    /** Counts the requests in flight on the backend servers that this instance owns. */
    public val concurrencyLimiter: ServerConcurrencyLimiter =
        ServerConcurrencyLimiter(context, membership.view, epochs, directory)

    private val reservations = PeerReservations(context, membership.view, epochs, directory, concurrencyLimiter)
    private val once = TableOnceRegistry(context, membership.view, table, table.pacer)

    /** Collects evidence about versions, routes and requests. */
    public val judge: PooledJudge = PooledJudge(context, membership.view, catalogue, ::isSelectedJudge)

    private val servingPipeline = ServingPipeline(context, catalogue, directory, reservations, once, judge)

    /** Serves requests on this instance. */
    public val pipeline: Pipeline get() = servingPipeline

    /** Number of running and waiting requests on this instance. */
    public val inFlight: Int get() = servingPipeline.inFlight

    /** Why this instance accepts no requests at present; null if it accepts them. */
    public fun readinessProblem(): Problem? = when {
        isStopping -> Problem(ErrorKind.ShuttingDown, "the instance is shutting down")
        catalogue.current.value == null -> Problem(ErrorKind.NotReady, "the catalogue is not loaded yet")
        else -> null
    }

    /** State dumps of all components, for operators. */
    public val dumps: StateDumpService = StateDumpService(baseContext.self, baseContext.peers) { dumpedComponents }

    @Volatile
    private var isStopping = false
    private val dumpedComponents: List<StateDump> = listOf(
        catalogue,
        memberDump { membership.view.value },
        epochDump { epochs.current.value.values },
        pipelineDump { servingPipeline.inFlight },
    )

    init {
        listOf(table, catalogue, epochs, concurrencyLimiter, judge).forEach { membership.attach(it) }
    }

    /** Starts all components and handles peers' messages from now on. */
    public fun start(baseContext: NodeContext) {
        baseContext.peers.serve { from, message -> handle(from, message) }
        table.start()
        membership.start()
        catalogue.start()
        directory.start()
        epochs.start()
        concurrencyLimiter.start()
        reservations.start()
        once.start(servingPipeline::runAccepted)
        judge.start()
    }

    /**
     * Stops gracefully: refuses new requests, hands owned backend servers over, waits up to [drainTimeout] for running
     * requests, hands accepted requests over, and leaves the membership.
     */
    public suspend fun stop(drainTimeout: Duration) {
        isStopping = true
        concurrencyLimiter.stop()
        epochs.leave()
        servingPipeline.drain(drainTimeout)
        once.handOver()
        membership.leave()
    }

    private suspend fun handle(from: InstanceId, message: PeerMessage): PeerMessage = membership.handle(message)
        ?: concurrencyLimiter.handle(from, message)
        ?: catalogue.handle(from, message)
        ?: dumps.handle(message)
        ?: (message as? PeerMessage.TakeOver)?.let { once.handle(it) }
        ?: (message as? PeerMessage.CrashNotice)?.let { judge.handle(it) }
        ?: (message as? PeerMessage.TableRelay)?.let { table.handle(it) }
        ?: PeerMessage.Refusal("no component handles ${message::class.simpleName}")

    // If two instances both consider themselves selected, the catalogue refuses the second one's update.
    private fun isSelectedJudge(): Boolean =
        Rendezvous.first(JUDGE_ROLE, membership.view.value.alive) { it.id.value }?.id == context.self.id

    private companion object {
        const val JUDGE_ROLE = "judge"
    }
}
