package org.berylpoint.entry.node

import io.github.oshai.kotlinlogging.KotlinLogging
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.withContext
import org.berylpoint.entry.http.AdminServer
import org.berylpoint.entry.http.CallerServer
import org.berylpoint.entry.http.HttpBackendClient
import org.berylpoint.entry.http.HttpLimits
import org.berylpoint.entry.http.OperatorApi
import org.berylpoint.entry.settings.NodeSettings
import org.berylpoint.entry.settings.ServiceSettings
import org.berylpoint.model.Instance
import org.berylpoint.peer.KtorPeerNetwork
import org.berylpoint.peer.PeerHandler
import org.berylpoint.peer.PeerNetwork
import org.berylpoint.peer.SharedKeys
import org.berylpoint.platform.http.ComputeClient
import org.berylpoint.platform.http.HttpObjectStore
import org.berylpoint.platform.http.HttpTableService
import org.berylpoint.platform.http.HttpTransport
import java.security.SecureRandom
import kotlin.random.Random
import kotlin.random.asKotlinRandom
import kotlin.time.Clock
import kotlin.time.ExperimentalTime
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** Process of one entry instance: an [EntryNode] on sockets, HTTP clients and the system clocks. */
@OptIn(ExperimentalCoroutinesApi::class, ExperimentalTime::class)
public class EntryProcess(private val settings: NodeSettings) {
    private val exceptionHandler = CoroutineExceptionHandler { _, e ->
        log.error(e) { "node: uncaught exception in a background coroutine" }
    }
    private val dispatcher = Dispatchers.Default.limitedParallelism(1)
    private val scope = CoroutineScope(SupervisorJob() + dispatcher + exceptionHandler)
    private val socketScope = CoroutineScope(SupervisorJob() + Dispatchers.IO + exceptionHandler)
    private val time = TimeSource.Monotonic

    private val self = Instance(
        settings.instance.uniqueId(Random(SecureRandom().nextLong()).nextInt(SUFFIX_COUNT).toString(SUFFIX_RADIX)),
        settings.instance.failureDomain,
        settings.instance.peerAddress.toString(),
    )
    private val peers = KtorPeerNetwork(
        self.id,
        self.peerAddress,
        SharedKeys(settings.peers.currentKey.reveal(), settings.peers.previousKey?.reveal()),
        socketScope,
        time,
    )
    private val backends = HttpBackendClient()
    private val platform = settings.platform
    private val context = NodeContext(
        self = self,
        scope = scope,
        time = time,
        wallClock = Clock.System,
        random = SecureRandom().asKotlinRandom(),
        peers = DispatchingPeerNetwork(peers),
        table = HttpTableService(platform.table.transport(), platform.tableName),
        objects = HttpObjectStore(platform.objects.transport(), platform.bucket),
        instances = ComputeClient(
            platform.instances.transport(),
            platform.project,
            platform.zones.ifEmpty { listOf(self.failureDomain) },
            Clock.System,
        ),
        backends = backends,
        seeds = settings.peers.seeds.map { it.toString() },
    )
    private val node = EntryNode(context)
    private val limits = HttpLimits(
        maxBodyBytes = settings.limits.maxBodyBytes,
        maxHeaderBytes = settings.limits.maxHeaderBytes,
    )
    private val operator = OperatorApi(
        scope,
        settings.operatorToken,
        node.catalogue,
        node.membership.view,
        node.dumps,
    ) { node.judge.trafficShares(it, CHAT_ROUTE) }
    private val metrics = PrometheusRegistry().also { registerNodeMetrics(node, it) }
    private val adminServer = AdminServer(metrics, node.dumps, operator, node::readinessProblem)
    private val callerServer = CallerServer(self.id, socketScope, time, node.catalogue, node.pipeline, limits)

    /** Starts all listeners and components. */
    public suspend fun start() {
        log.info { "node: ${self.id} in ${self.failureDomain} is starting" }
        withContext(dispatcher) { node.start(context) }
        peers.listen()
        callerServer.start(settings.instance.callerAddress.host, settings.instance.callerAddress.port)
        adminServer.start(settings.instance.adminAddress.host, settings.instance.adminAddress.port)
    }

    /** Stops the node as [EntryNode.stop] describes, then closes all listeners and clients. */
    public suspend fun stop() {
        log.info { "node: ${self.id} is stopping with ${node.inFlight} requests in flight" }
        withContext(dispatcher) { node.stop(settings.instance.drainTimeout) }
        callerServer.close()
        adminServer.close()
        peers.close()
        backends.close()
        scope.cancel()
        socketScope.cancel()
        log.info { "node: ${self.id} has stopped" }
    }

    private fun ServiceSettings.transport() = HttpTransport(address, self.id, timeout)

    /** Runs the handler of peers' messages on the dispatcher that all components of the node share. */
    private inner class DispatchingPeerNetwork(private val network: PeerNetwork) : PeerNetwork by network {
        override fun serve(handler: PeerHandler) = network.serve { from, message ->
            withContext(dispatcher) { handler.handle(from, message) }
        }
    }

    private companion object {
        const val SUFFIX_COUNT = 36 * 36 * 36 * 36
        const val CHAT_ROUTE = "/v1/chat/completions"
        const val SUFFIX_RADIX = 36
    }
}
