package org.berylpoint.entry.gateway

import arrow.core.Either
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.berylpoint.entry.gateway.caller.GatewayHttpHandlers
import org.berylpoint.entry.gateway.caller.GatewayHttpServer
import org.berylpoint.entry.gateway.duty.CapacityDuty
import org.berylpoint.entry.gateway.duty.DutyLeaseManager
import org.berylpoint.entry.gateway.duty.RolloutDuty
import org.berylpoint.entry.gateway.duty.SettledUsage
import org.berylpoint.entry.gateway.duty.UsageDuty
import org.berylpoint.entry.gateway.flow.AcceptanceConditions
import org.berylpoint.entry.gateway.flow.PromptQuarantine
import org.berylpoint.entry.gateway.flow.RequestFlow
import org.berylpoint.entry.gateway.flow.SharedCounts
import org.berylpoint.entry.gateway.flow.VersionOutcomes
import org.berylpoint.entry.gateway.peers.PeerDiscovery
import org.berylpoint.entry.gateway.peers.PeerReportExchange
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.entry.gateway.queue.QueueDump
import org.berylpoint.entry.gateway.queue.RequestQueues
import org.berylpoint.entry.gateway.server.HttpServerClient
import org.berylpoint.entry.gateway.server.ServerLimits
import org.berylpoint.entry.gateway.server.ServerNotices
import org.berylpoint.entry.gateway.server.ServerPool
import org.berylpoint.entry.gateway.server.ServerSpeeds
import org.berylpoint.entry.gateway.site.FeedReaderSelection
import org.berylpoint.entry.gateway.site.SiteState
import org.berylpoint.entry.gateway.site.StartupCheck
import org.berylpoint.entry.gateway.site.StoreClock
import org.berylpoint.entry.gateway.site.StoreEras
import org.berylpoint.entry.gateway.site.StoreWatcher
import org.berylpoint.entry.gateway.site.ViewFreshness
import org.berylpoint.entry.settings.GatewaySettings
import org.berylpoint.entry.settings.SettingFault
import org.berylpoint.peer.NodeReport
import org.berylpoint.platform.cloud.CloudClient
import org.berylpoint.platform.store.PlatformHttp
import org.berylpoint.platform.store.StoreClient
import org.berylpoint.policy.overload.LoadShedder
import java.util.concurrent.Executors
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** An entry instance on the operators' platform: wires its components together, starts and stops them. */
public class GatewayProcess(private val settings: GatewaySettings, wallClock: () -> Long) {
    private val log = DecisionLog()

    // Before everything else, so that callers who connect during the start wait instead of being refused.
    private val addresses = runBlocking { BoundAddresses.bind(settings, log) }
    private val clocks = Clocks(TimeSource.Monotonic, wallClock)
    private val startedAtMillis = wallClock()
    private val random = Random(startedAtMillis xor settings.instance.hashCode().toLong())
    private val registry = PrometheusRegistry()
    private val metrics = GatewayMetrics(registry)
    private val shedder = LoadShedder(random)
    private val lag = ProcessorLag(clocks, log, shedder::recordLag)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default.limitedParallelism(WORKER_THREADS))

    /**
     * What follows the site has a thread of its own: the workers of [scope] wait for locks and calls that requests use.
     * Its timers run on the same thread, which saves a turn on the processor for each wait.
     */
    private val siteThread =
        Executors.newSingleThreadScheduledExecutor {
            thread(start = false, isDaemon = true, name = "site", block = it::run)
        }
    private val siteScope = CoroutineScope(SupervisorJob() + siteThread.asCoroutineDispatcher())
    private val http = PlatformHttp()
    private val eras = StoreEras(clocks, log)
    private val store = StoreClient(settings.storeAddress, http, eras::record)
    private val site = SiteState(clocks, log, eras)
    private val peers = PeerView(settings.instance, clocks, log)
    private val counts = SharedCounts(clocks, peers, settings.bounds)
    private val versions = VersionOutcomes()
    private val quarantine = PromptQuarantine(settings.instance, clocks, peers, log)
    private val rollouts = RolloutDuty(store, site, peers, clocks, log, random, ::ownOutcomes, settings.bounds.rollout)
    private val client = HttpServerClient { address, fault ->
        metrics.responseFault(fault.label)
        log.event("server", "bytes that are no valid response", "address" to address, "fault" to fault.label)
    }
    private val notices = ServerNotices(clocks, log)
    private val limits = ServerLimits(settings.instance, clocks, peers, log)
    private val speeds = ServerSpeeds(clocks, site, log) { lag.millis }
    private val pool = ServerPool(
        settings.instance, settings.failureDomain, clocks, site, peers, rollouts, notices, limits, random, speeds,
    )
    private val queues = RequestQueues(settings.instance, clocks, site, peers, pool, log, metrics, random)
    private val queueDump = QueueDump { queues.states }
    private val build by lazy { BuildId.of() }
    private val flow =
        RequestFlow(
            clocks, site, queues, client, notices, limits, counts, versions, quarantine, log, metrics, random,
            AcceptanceConditions(
                isLeaving = { refusesRequests },
                hasProcessorTime = shedder::accepts,
                remainingMillis = { stopsAtMillis?.let { it - clocks.steadyMillis } },
                lagMillis = { lag.millis },
                isViewOld = { freshness.isOld },
                isViewOutOfDate = { freshness.isOutOfDate },
            ),
        )
    private val leaseManager = DutyLeaseManager(
        settings.instance,
        store,
        peers,
        clocks,
        log,
        settings.bounds.leaseMillis + LEASE_MARGIN_MILLIS,
        eras,
    )
    private val settledUsage = SettledUsage(settings.instance, eras, peers)
    private val feedReaders =
        FeedReaderSelection(
            settings.instance,
            settings.failureDomain.name,
            peers,
            settings.bounds.changeMillis,
            { eras.current },
        ) { rows -> reportExchange.forwardRows(settings.failureDomain.name, rows) }
    private val watcher = StoreWatcher(store, StoreClock(clocks), site, log, feedReaders, eras)
    private val freshness = ViewFreshness(watcher, peers, { lag.millis }, settings.bounds.changeMillis)
    private val discovery =
        PeerDiscovery(settings.instance, settings.reportAddress.toString(), store, peers, log, eras, random)
    private val reportExchange: PeerReportExchange = PeerReportExchange(
        addresses.reports,
        peers,
        log,
        ::buildReport,
        onRows = { watcher.applyForwardedRows(it) },
        onReport = ::onReport,
    )
    private val dump by lazy {
        GatewayDump(settings.instance, build, site, eras, clocks, leaseManager, speeds, rollouts, queueDump, peers) {
            flow.inFlight
        }
    }
    private val front =
        GatewayHttpServer(
            addresses.http,
            registry,
            GatewayHttpHandlers(flow::serve, ::isReady, {
                isStopping
            }, { dump.toJson() }, ::maxBodyBytes),
        )
    private var lastSequence = 0L

    @Volatile
    private var isStopping = false

    /** Set once the load balancer has had time to notice that the instance is not ready any more. */
    @Volatile
    private var refusesRequests = false

    /** Time on the steady clock at which the process ends at the latest; null unless it is stopping. */
    @Volatile
    private var stopsAtMillis: Long? = null

    /** Starts everything; returns when the addresses are open. */
    public fun start() {
        log.event(
            "process",
            "the instance starts",
            "instance" to settings.instance,
            "domain" to settings.failureDomain.name,
        )
        GatewayGauges(
            metrics, flow, site, eras, watcher, peers, reportExchange, quarantine, limits, lag, shedder, speeds,
        ).register()
        queueDump.register(metrics)
        watcher.start(siteScope)
        siteScope.launch { restarting(log, "startup check") { StartupCheck(site, peers, clocks, log).run() } }
        // Callers wait for the addresses to open, so everything that can start later does.
        front.start()
        scope.launch {
            reportExchange.start(this)
            restarting(log, "peer discovery") { discovery.run() }
        }
        siteScope.launch { restarting(log, "processor lag") { lag.measure() } }
        scope.launch { restarting(log, "duty lease") { leaseManager.run { isStopping } } }
        scope.launch { restarting(log, "duties") { runDuties() } }
        scope.launch { restarting(log, "rollout shares") { updateRolloutShares() } }
        scope.launch { restarting(log, "rollout decisions") { decideOnRollouts() } }
        scope.launch { restarting(log, "idle timeout") { applyIdleTimeout() } }
        scope.launch { restarting(log, "shares") { queues.run() } }
        scope.launch { log.event("process", "the build is known", "build" to build) }
        log.event("process", "listening for requests", "caller" to settings.callerAddress)
    }

    /**
     * Reports the instance as not ready, serves requests for the time that the load balancer takes to react as far as
     * they may end in time, refuses all after that, and returns when none is in progress or the grace period is about
     * to end.
     *
     * Callers may go on sending until the end. So the instance first stops to accept connections and then waits until
     * no request has come for [QUIET_TIME]: one that was just accepted is still answered.
     */
    public fun stop() {
        isStopping = true
        log.event("process", "the instance stops", "inFlight" to flow.inFlight)
        val deadline = clocks.steadyMillis + settings.graceSeconds * MILLIS_PER_SECOND - STOP_MARGIN_MILLIS
        stopsAtMillis = deadline
        runBlocking {
            delay(minOf(BALANCER_DELAY_MILLIS, deadline - clocks.steadyMillis).milliseconds)
            refusesRequests = true
            awaitQuiet(deadline - LAST_REQUESTS_MILLIS)
            front.stopAccepting()
            awaitQuiet(deadline)
        }
        log.event("process", "the instance has stopped", "inFlight" to flow.inFlight)
        scope.cancel()
        siteScope.cancel()
        siteThread.shutdown()
    }

    /** Cuts all connections, as the end of the process does. */
    internal fun close() {
        front.close()
        client.close()
        http.close()
    }

    /** Waits until no request has been in progress for [QUIET_TIME], at most until [deadline] on the steady clock. */
    private suspend fun awaitQuiet(deadline: Long) {
        var quietSince = clocks.steadyMillis
        while (clocks.steadyMillis < deadline) {
            if (front.activeRequests > 0) quietSince = clocks.steadyMillis
            if (clocks.steadyMillis - quietSince >= QUIET_TIME.inWholeMilliseconds) return
            delay(STOP_CHECK_INTERVAL)
        }
    }

    /** Reads the settings again and logs whether they changed; changes take effect at the next start. */
    public fun reload(read: () -> Either<List<SettingFault>, GatewaySettings>) {
        read().fold(
            ifLeft = { log.event("process", "the settings read again are invalid", "faults" to it) },
            ifRight = { log.event("process", "the settings were read again", "changed" to (it != settings)) },
        )
    }

    private fun isReady(): Boolean = !isStopping && site.view.canServe

    private fun maxBodyBytes(): Int = site.view.config?.callerLimits?.maxBodyBytes ?: DEFAULT_MAX_BODY_BYTES

    private suspend fun runDuties() {
        val cloudAddress = settings.cloudAddress ?: return
        val cloud = CloudClient(cloudAddress, http)
        val usage =
            UsageDuty(store, cloud, peers, clocks, settings.bounds, log, metrics, eras, settledUsage, ::ownReport)
        val capacity =
            CapacityDuty(cloud, site, peers, speeds, clocks, log, metrics, ::ownReport, settings.isFirstStart)
        while (true) {
            delay(DUTY_INTERVAL)
            capacity.recordDemand()
            if (isStopping || leaseManager.holder == null) continue
            usage.reportClosedWindows { leaseManager.holder }
            capacity.sendOrders { leaseManager.holder }
        }
    }

    private suspend fun updateRolloutShares() {
        while (true) {
            delay(if (rollouts.isRunning) ROLLOUT_INTERVAL else DUTY_INTERVAL)
            rollouts.updateShares()
        }
    }

    /** Apart from [updateRolloutShares], since calls to the store may take long. */
    private suspend fun decideOnRollouts() {
        while (true) {
            delay(if (rollouts.isRunning) ROLLOUT_INTERVAL else DUTY_INTERVAL)
            rollouts.decide(leaseManager.holder.takeUnless { isStopping || settings.cloudAddress == null })
        }
    }

    private suspend fun applyIdleTimeout() {
        var applied = 0L
        while (true) {
            val millis = site.view.config?.callerLimits?.idleTimeoutMillis ?: 0
            if (millis > 0 && millis != applied) front.setIdleTimeout(millis)
            applied = millis
            delay(1.seconds)
        }
    }

    private fun onReport(report: NodeReport) {
        counts.mergeReport(report)
        quarantine.mergeReport(report)
        limits.mergeReport(report)
        leaseManager.notePeer(report)
        settledUsage.merge(report)
        speeds.mergeReport(report)
        queues.onReport()
        watcher.notePeer(report)
        watcher.changesFor(report).forEach { reportExchange.sendRows(it, report.address) }
    }

    private fun ownReport(): NodeReport = buildReport(lastSequence)

    /** A report with the outcomes of this instance's requests only. */
    private fun ownOutcomes(): NodeReport =
        versions.addTo(NodeReport(settings.instance, settings.failureDomain.name, startedAtMillis, lastSequence, 0))

    private fun buildReport(sequence: Long): NodeReport {
        lastSequence = sequence
        val base = NodeReport(
            name = settings.instance,
            domain = settings.failureDomain.name,
            startedAtMillis = startedAtMillis,
            sequence = sequence,
            wallMillis = clocks.wallMillis,
            configVersion = site.view.config?.version ?: 0,
            loads = pool.loadParts(),
            dutyToken = leaseManager.holder?.fencingToken ?: 0,
            isLeaving = isStopping,
            address = settings.reportAddress.toString(),
            silentProcesses = peers.usageOfSilentProcesses(),
            highestDutyToken = leaseManager.highestToken.takeIf { eras.current > 0 } ?: 0,
            settledUsage = settledUsage.partsToTell(leaseManager.holder != null, sequence),
            readsPacked = true,
        )
        val withDemand = queues.addTo(limits.addTo(quarantine.addTo(versions.addTo(counts.addTo(base)))))
        return rollouts.addTo(watcher.addTo(speeds.addTo(withDemand)))
    }

    private companion object {
        const val WORKER_THREADS = 4
        const val MILLIS_PER_SECOND = 1_000L
        const val DEFAULT_MAX_BODY_BYTES = 4_194_304

        /** By how much the duty lease is longer than the bound that the operators set for it. */
        const val LEASE_MARGIN_MILLIS = 1_500L

        /** Time that the load balancer takes to stop sending new connections. */
        const val BALANCER_DELAY_MILLIS = 3_000L
        const val STOP_MARGIN_MILLIS = 400L

        /** Time before the end of the grace period at which new connections are not accepted any more. */
        const val LAST_REQUESTS_MILLIS = 1_000L
        val STOP_CHECK_INTERVAL = 20.milliseconds
        val QUIET_TIME = 150.milliseconds
        val DUTY_INTERVAL = 500.milliseconds
        val ROLLOUT_INTERVAL = RolloutDuty.INTERVAL_MILLIS.milliseconds
    }
}
