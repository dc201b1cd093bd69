package org.berylpoint.entry.gateway.server

import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.site.ObservedServer
import org.berylpoint.entry.gateway.site.SiteState
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.serving.Service
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.SpeedPart
import org.berylpoint.policy.performance.LearnedValue
import org.berylpoint.policy.performance.ModelledServer
import org.berylpoint.policy.performance.PerformanceModel
import org.berylpoint.policy.performance.ServerCapacity
import org.berylpoint.policy.performance.ServerExpectation
import org.berylpoint.policy.performance.SpeedBands

/**
 * The learned performance of the site's servers: feeds the model with what this instance observes and what others
 * report, and answers from it. Thread-safe; calls nothing that takes a lock of another component.
 */
public class ServerSpeeds(
    private val clocks: Clocks,
    private val site: SiteState,
    private val log: DecisionLog,
    /** How late this process gets its turns on the processor. */
    private val lagMillis: () -> Long,
) {
    private val model = PerformanceModel()
    private val bands = SpeedBands()
    private var servers: List<ModelledServer> = emptyList()

    /** The sequence number for which [news] was taken; each report of it carries the same. */
    private var newsSequence = -1L
    private var news: ByteArray? = null

    /** What is expected of [server] while it runs [active] requests. */
    @Synchronized
    internal fun expectation(server: ModelledServer, active: Int): ServerExpectation =
        model.expectation(server, active, clocks.steadyMillis)

    @Synchronized
    internal fun recordRequest(server: ModelledServer, promptTokens: Long, targetMillis: Long): Unit =
        model.recordRequest(server, promptTokens, targetMillis)

    /** Records the first event of the response for [reservation]. */
    @Synchronized
    internal fun recordFirstEvent(reservation: ServerReservation) {
        val now = clocks.steadyMillis
        model.recordFirstEvent(
            reservation.modelled,
            (now - reservation.reservedAtMillis).toDouble(),
            reservation.prefillTokens,
            reservation.pendingTokensBefore,
            reservation.activeBefore,
            lagMillis(),
            now,
        )
    }

    /** Records that [gapMillis] passed between events of a stream from [server]. */
    @Synchronized
    internal fun recordGap(server: ModelledServer, gapMillis: Double, active: Int): Unit =
        model.recordGap(server, gapMillis, active, lagMillis(), clocks.steadyMillis)

    /** Records that the response for [reservation] is complete. */
    @Synchronized
    internal fun recordCompletion(reservation: ServerReservation) {
        val now = clocks.steadyMillis
        val millis = (now - reservation.reservedAtMillis).toDouble()
        model.recordRun(reservation.modelled, millis, now)
        // The length of a stream of a plain service says nothing of the server's speed.
        if (reservation.modelled.tokensPerEvent != null || reservation.gaps.hasEvents) return
        model.recordResponse(reservation.modelled, millis, reservation.activeBefore, lagMillis(), now)
    }

    /** Takes over what the sender of [report] has learned. */
    @Synchronized
    public fun mergeReport(report: NodeReport) {
        val values = SpeedPart.decode(report.speeds).map { LearnedValue(it.key, it.level, it.weight) }
        model.merge(report.name, values, clocks.steadyMillis)
    }

    /** Returns [report] with what this instance has learned since the report before it. */
    @Synchronized
    public fun addTo(report: NodeReport): NodeReport {
        if (report.sequence != newsSequence) {
            newsSequence = report.sequence
            updateServers()
            val values = model.takeNews(clocks.steadyMillis)
            news = SpeedPart.encode(values.map { SpeedPart(it.key, it.level, it.weight) })
        }
        return report.copy(speeds = news)
    }

    private fun updateServers() {
        val now = clocks.steadyMillis
        val view = site.view
        servers = view.servers.values.mapNotNull { server ->
            view.config?.services?.get(server.entry.service)?.let { ModelledServer.of(server.entry, it) }
        }
        model.updateServers(servers, now)
        val speeds = servers.filter { model.hasEvidence(it, now) }
            .associate { it.id.value to model.relativeSpeed(it, now) }
        for (change in bands.update(speeds, now)) {
            log.event(
                "server",
                if (change.isWithin) "a server has its usual speed again" else "a server differs in speed",
                "server" to change.server,
                "speed" to change.speed,
            )
        }
    }

    /** Speeds of the servers for which there is evidence, relative to the median of their service. */
    @Synchronized
    public fun relativeSpeeds(): Map<BackendServerId, Double> {
        val now = clocks.steadyMillis
        return servers.filter { model.hasEvidence(it, now) }.associate { it.id to model.relativeSpeed(it, now) }
    }

    /** Speed of [server] relative to the median of [service]; 1 while it is unknown. */
    @Synchronized
    public fun relativeSpeed(server: ObservedServer, service: Service): Double =
        model.relativeSpeed(ModelledServer.of(server.entry, service), clocks.steadyMillis)

    /**
     * What a server of [service] at the median speed carries, at least what one of unknown speed is assumed to carry:
     * under overload requests start late at any number of servers, and a low estimate would order more without end.
     */
    @Synchronized
    public fun typicalCapacity(service: Service): ServerCapacity {
        val prior = ServerCapacity.prior(service.engine?.batchSlots ?: DEFAULT_SLOTS)
        val server = servers.firstOrNull { it.service == service.name } ?: return prior
        return model.typicalCapacity(server, clocks.steadyMillis).atLeast(prior)
    }

    private companion object {
        /** Slots of a server of a plain service of which no server is known. */
        const val DEFAULT_SLOTS = 8
    }
}
