package org.berylpoint.entry.gateway.queue

import kotlinx.coroutines.delay
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.GatewayMetrics
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.entry.gateway.server.ServerPool
import org.berylpoint.entry.gateway.server.ServerReservation
import org.berylpoint.entry.gateway.site.SiteState
import org.berylpoint.model.InstanceId
import org.berylpoint.model.serving.Service
import org.berylpoint.model.serving.ServiceName
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.ReportSocket
import org.berylpoint.peer.ServerLoads
import org.berylpoint.peer.boundQueueParts
import org.berylpoint.policy.placement.AttemptSignal
import org.berylpoint.policy.share.ShareGroup
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * Places requests at servers: at once while there is room, and in the order of the services' queues while there is not.
 * Divides the slots of each service among workspaces and instances by their reports, once in a round of these.
 */
public class RequestQueues(
    self: String,
    private val clocks: Clocks,
    private val site: SiteState,
    private val peers: PeerView,
    internal val pool: ServerPool,
    log: DecisionLog,
    metrics: GatewayMetrics,
    private val random: Random,
) {
    private val self = InstanceId(self)
    private val events = QueueEvents(log, metrics)
    private val queues = ConcurrentHashMap<ServiceName, ServiceQueue>()

    @Volatile
    private var wokenByReportAtMillis = Long.MIN_VALUE / 2

    init {
        pool.onRoom = { queues[it]?.wake() }
        site.onServersChanged = ::wakeAll
    }

    /** The queues and shares of all services that were used, by service. */
    internal val states: Map<ServiceName, QueueState> get() = queues.mapValues { it.value.state }

    /**
     * Reserves capacity at a server for [request], now or when there is room. Throws [IOException] if the caller leaves
     * meanwhile.
     */
    internal suspend fun place(request: QueuedRequest, isCallerGone: () -> Boolean): QueueOutcome =
        queueOf(request.service.name).place(request, isCallerGone)

    /** Records that a request of [group] was sent to a server of [service] without [place]. */
    internal fun recordStart(service: ServiceName, group: ShareGroup): Unit = queueOf(service).recordStart(group)

    /** Ends what was reserved for a request of [group]; see [ServerPool.release]. */
    internal fun release(
        service: ServiceName,
        group: ShareGroup,
        reservation: ServerReservation,
        signal: AttemptSignal?,
    ) {
        if (reservation.isReleased) return
        queueOf(service).recordEnd(group)
        pool.release(reservation, signal)
    }

    /** Tries what waits, since a report has arrived that may show room. */
    public fun onReport() {
        val now = clocks.steadyMillis
        // Reports of many instances come some at a time; a try for each would take as long as all other handling.
        val isFrequent = peers.peerCount > MAX_PEERS_FOR_EACH_REPORT
        if (isFrequent && now - wokenByReportAtMillis < ReportSocket.RECEIVE_INTERVAL_MILLIS) return
        wokenByReportAtMillis = now
        wakeAll()
    }

    private fun wakeAll() = queues.values.forEach { it.wake() }

    /** Updates the shares in each round of reports. */
    internal suspend fun run() {
        while (true) {
            update()
            delay(PeerView.reportIntervalMillis(peers.peerCount).milliseconds)
        }
    }

    /** Computes the shares from the newest reports. */
    internal fun update() {
        val view = site.view
        val heard = peers.liveReports
        val silent = peers.silentReports()
        val ownLoads = ServerLoads.of(pool.loadParts())
        val othersLoads = ServerLoads.sum((heard + silent).map { it.serverLoads })
        val instances = peers.peerCount + 1
        for (service in view.config?.services?.values.orEmpty()) {
            val servers = view.usableServers(service.name)
            if (servers.isEmpty()) continue
            val demands = heard.map { it.demandFor(service.name, isHeard = true) } +
                silent.map { it.demandFor(service.name, isHeard = false) }
            val slots = servers.associate { it.entry.id to slotsOf(service, it.entry.slots) }
            queueOf(service.name).update(ShareInput(slots, demands, othersLoads, ownLoads, instances))
        }
    }

    private fun slotsOf(service: Service, slots: Int) = service.engine?.batchSlots ?: slots

    /** Returns [report] with the demand of this instance. */
    public fun addTo(report: NodeReport): NodeReport =
        report.copy(queues = boundQueueParts(states.flatMap { (service, state) -> state.reported.toParts(service) }))

    private fun queueOf(service: ServiceName) = queues[service]
        ?: queues.computeIfAbsent(service) {
            ServiceQueue(self, it, clocks, pool, events, Random(random.nextInt()))
        }

    private companion object {
        /** Number of peers up to which each of their reports wakes the queues: about 40 reports a second. */
        const val MAX_PEERS_FOR_EACH_REPORT = 10
    }
}
