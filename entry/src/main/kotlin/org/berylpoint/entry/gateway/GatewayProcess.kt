package org.berylpoint.entry.gateway

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.berylpoint.entry.gateway.caller.GatewayHttpHandlers
import org.berylpoint.entry.gateway.caller.GatewayHttpServer
import org.berylpoint.entry.gateway.duty.CapacityDuty
import org.berylpoint.entry.gateway.duty.DutyLeaseKeeper
import org.berylpoint.entry.gateway.duty.RolloutDuty
import org.berylpoint.entry.gateway.duty.UsageDuty
import org.berylpoint.entry.gateway.flow.RequestFlow
import org.berylpoint.entry.gateway.flow.SharedCounts
import org.berylpoint.entry.gateway.peers.PeerReports
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.entry.gateway.server.HttpServerClient
import org.berylpoint.entry.gateway.server.ServerPool
import org.berylpoint.entry.gateway.site.FeedReading
import org.berylpoint.entry.gateway.site.SiteState
import org.berylpoint.entry.gateway.site.StoreWatcher
import org.berylpoint.entry.settings.GatewaySettings
import org.berylpoint.peer.NodeReport
import org.berylpoint.platform.cloud.CloudClient
import org.berylpoint.platform.store.PlatformHttp
import org.berylpoint.platform.store.StoreClient
import java.net.InetSocketAddress
import java.nio.channels.ServerSocketChannel
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** An entry instance on the operators' platform: wires the parts together, starts and stops them. */
public class GatewayProcess(private val settings: GatewaySettings, timeOfDay: () -> Long) {
    // Bound before everything else, so that callers who connect during the start wait instead of being turned away.
    private val callerChannel = ServerSocketChannel.open().bind(
        InetSocketAddress(settings.callerAddress.host, settings.callerAddress.port),
        GatewayHttpServer.ACCEPT_QUEUE,
    )
    private val clocks = Clocks(TimeSource.Monotonic, timeOfDay)
    private val startedAt = timeOfDay()
    private val random = Random(startedAt xor settings.instance.hashCode().toLong())
    private val log = DecisionLog()
    private val registry = PrometheusRegistry()
    private val metrics = GatewayMetrics(registry)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default.limitedParallelism(WORKERS))
    private val http = PlatformHttp()
    private val store = StoreClient(settings.storeAddress, http)
    private val site = SiteState(clocks, log)
    private val peers = PeerView(settings.instance, clocks, log)
    private val counts = SharedCounts(clocks, peers, settings.bounds)
    private val rollouts = RolloutDuty(store, site, peers, clocks, log, random, ::ownReport)
    private val client = HttpServerClient()
    private val pool = ServerPool(settings.instance, settings.domain, clocks, site, peers, rollouts, random)
    private val flow = RequestFlow(clocks, site, pool, client, counts, log, metrics, random) { isLeaving }
    private val lease = DutyLeaseKeeper(
        settings.instance,
        store,
        peers,
        clocks,
        log,
        settings.bounds.leaseMillis + LEASE_EXTRA_MILLIS,
    )
    private val reading = FeedReading(settings.instance, settings.domain.name, peers) { rows ->
        reports.handOn(settings.domain.name, rows)
    }
    private val watcher = StoreWatcher(store, site, log, reading)
    private val reports: PeerReports = PeerReports(
        settings.instance,
        settings.reportAddress.toString(),
        store,
        peers,
        log,
        ::report,
        ::received,
    )
    private val front =
        GatewayHttpServer(
            settings,
            callerChannel,
            registry,
            GatewayHttpHandlers(flow::serve, ::isReady, {
                isStopping
            }, ::dump, ::maxBody),
        )
    private var sequence = 0L

    @Volatile
    private var isStopping = false

    /** Set once the balancer has had time to learn that the instance stops. */
    @Volatile
    private var isLeaving = false

    /** Starts everything; returns when the addresses are open. */
    public fun start() {
        log.belief("process", "the instance starts", "instance" to settings.instance, "domain" to settings.domain.name)
        metrics.gauge("berylpoint_requests_in_flight", "Requests in progress.") { flow.inFlight.toDouble() }
        metrics.gauge("berylpoint_config_version", "Version of the configuration in force; -1 for none.") {
            (site.view.config?.version ?: -1).toDouble()
        }
        metrics.gauge("berylpoint_servers_known", "Backend servers known.") { site.view.servers.size.toDouble() }
        metrics.gauge("berylpoint_peers_heard", "Other instances heard lately.") { peers.live.size.toDouble() }
        watcher.start(scope)
        // Callers wait for the addresses, so what can come a moment later does.
        front.start()
        scope.launch { reports.start(this) }
        scope.launch { lease.run { isStopping } }
        scope.launch { duties() }
        scope.launch { followIdleTimeout() }
        log.belief("process", "the addresses are open", "caller" to settings.callerAddress)
    }

    /** Takes no new callers, serves those that come, and returns when nothing is in progress or the time is up. */
    public fun stop() {
        isStopping = true
        log.belief("process", "the instance stops", "inFlight" to flow.inFlight)
        val limit = clocks.steady + settings.graceSeconds * MILLIS - STOP_MARGIN_MILLIS
        val earliest = clocks.steady + LEAVE_MILLIS
        runBlocking {
            while (clocks.steady < earliest) delay(STOP_CHECK)
            isLeaving = true
            while (clocks.steady < limit && flow.inFlight > 0) delay(STOP_CHECK)
        }
        log.belief("process", "the instance has stopped", "inFlight" to flow.inFlight)
        scope.cancel()
    }

    /** Reads the settings again. Addresses stay as they are until the next start; other changes are only logged. */
    public fun reload(file: java.io.File) {
        GatewaySettings.read(file).fold(
            ifLeft = { log.belief("process", "the new settings are not usable", "faults" to it) },
            ifRight = { log.belief("process", "the settings were read again", "changed" to (it != settings)) },
        )
    }

    private fun isReady(): Boolean = !isStopping && site.view.isKnown

    private fun maxBody(): Int = site.view.config?.callerLimits?.maxBodyBytes ?: DEFAULT_BODY_BYTES

    private suspend fun duties() {
        val cloudAddress = settings.cloudAddress ?: return
        val cloud = CloudClient(cloudAddress, http)
        val usage = UsageDuty(store, cloud, peers, clocks, settings.bounds, log, metrics, ::ownReport)
        val capacity = CapacityDuty(cloud, site, peers, clocks, log, metrics, ::ownReport, settings.isFirstStart)
        while (true) {
            delay(DUTY_INTERVAL)
            rollouts.judge()
            capacity.observe()
            if (isStopping || lease.holder == null) continue
            usage.step { lease.holder }
            rollouts.publish()
            capacity.step { lease.holder }
        }
    }

    private suspend fun followIdleTimeout() {
        var known = 0L
        while (true) {
            val millis = site.view.config?.callerLimits?.idleTimeoutMillis ?: 0
            if (millis > 0 && millis != known) front.setIdleTimeout(millis)
            known = millis
            delay(1.seconds)
        }
    }

    private fun received(report: NodeReport) {
        counts.mergeReport(report)
        report.rows?.let(watcher::handedOn)
        watcher.peerHas(report.revisions)
    }

    private fun ownReport(): NodeReport = report(sequence)

    private fun report(next: Long): NodeReport {
        sequence = next
        val base = NodeReport(
            name = settings.instance,
            domain = settings.domain.name,
            startedAtMillis = startedAt,
            sequence = next,
            wallMillis = clocks.wall,
            configVersion = site.view.config?.version ?: 0,
            loads = pool.loadParts(),
            dutyToken = lease.holder?.fencingToken ?: 0,
            isLeaving = isStopping,
            address = settings.reportAddress.toString(),
            revisions = watcher.revisions,
            unheard = peers.unheard(),
        )
        return counts.addTo(base)
    }

    private fun dump(): String = buildJsonObject {
        put("instance", settings.instance)
        put("configVersion", site.view.config?.version)
        put("inFlight", flow.inFlight)
        put("dutyToken", lease.holder?.fencingToken)
        put(
            "servers",
            buildJsonArray {
                for (server in site.view.servers.values) {
                    addJsonObject {
                        put("id", server.entry.id.value)
                        put("service", server.entry.service.value)
                        put("draining", server.entry.isDraining)
                        put("cold", server.isCold(clocks.steady))
                        put("revision", server.revision)
                    }
                }
            },
        )
        put("peers", buildJsonArray { for (peer in peers.live) addJsonObject { put("name", peer.name) } })
    }.toString()

    private companion object {
        const val WORKERS = 4
        const val MILLIS = 1_000L
        const val DEFAULT_BODY_BYTES = 4_194_304

        /** By how much the duty lease is longer than the bound that the operators set. */
        const val LEASE_EXTRA_MILLIS = 1_500L

        /** Time that the balancer takes to send no new connections. */
        const val LEAVE_MILLIS = 3_000L
        const val STOP_MARGIN_MILLIS = 400L
        val STOP_CHECK = 50.milliseconds
        val DUTY_INTERVAL = 500.milliseconds
    }
}
