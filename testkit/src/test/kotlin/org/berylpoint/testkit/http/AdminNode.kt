package org.berylpoint.testkit.http

import arrow.core.Either
import arrow.core.left
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.runBlocking
import org.berylpoint.entry.catalogue.CatalogueSync
import org.berylpoint.entry.http.AdminServer
import org.berylpoint.entry.http.OperatorApi
import org.berylpoint.entry.http.StateDumpService
import org.berylpoint.entry.member.Member
import org.berylpoint.entry.member.MembershipView
import org.berylpoint.entry.node.NodeContext
import org.berylpoint.entry.settings.Secret
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.Instance
import org.berylpoint.model.InstanceId
import org.berylpoint.model.Problem
import org.berylpoint.model.VersionName
import org.berylpoint.peer.PeerError
import org.berylpoint.peer.PeerHandler
import org.berylpoint.peer.PeerMessage
import org.berylpoint.peer.PeerNetwork
import org.berylpoint.testkit.rig.AbsentBackends
import org.berylpoint.testkit.rig.AbsentPlatform
import org.berylpoint.testkit.standin.MemoryObjects
import org.berylpoint.testkit.standin.MemoryTable
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.ExperimentalTime
import kotlin.time.TimeSource

/** An entry instance with only a catalogue and an admin server, and one peer that never responds. */
@OptIn(ExperimentalTime::class, ExperimentalCoroutinesApi::class)
internal class AdminNode : AutoCloseable {
    private object UnresponsivePeers : PeerNetwork {
        override suspend fun call(
            address: String,
            message: PeerMessage,
            timeout: Duration,
        ): Either<PeerError, PeerMessage> = PeerError.TimedOut.left()

        override fun serve(handler: PeerHandler) = Unit
    }

    val table = MemoryTable()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default.limitedParallelism(1))
    private val self = Instance(InstanceId("muc-a-1"), FailureDomain("muc-a"), "127.0.0.1:7400")
    private val unresponsive = Instance(InstanceId("rgb-a-1"), FailureDomain("rgb-a"), "127.0.0.1:7401")
    private val context = NodeContext(
        self,
        scope,
        TimeSource.Monotonic,
        Clock.System,
        Random(1),
        UnresponsivePeers,
        table,
        MemoryObjects(),
        AbsentPlatform,
        AbsentBackends,
        emptyList(),
    )
    private val view = MutableStateFlow(
        MembershipView(
            self,
            mapOf(
                self.id to Member(self, Member.State.ALIVE),
                unresponsive.id to Member(unresponsive, Member.State.SUSPECT),
            ),
        ),
    )
    val sync = CatalogueSync(context, view, table)
    private val metrics = PrometheusRegistry().also {
        Counter.builder().name("berylpoint_test").help("A counter.").register(it).inc()
    }
    private val dumps = StateDumpService(self, UnresponsivePeers) { listOf(sync) }
    private val operator =
        OperatorApi(scope, Secret(TOKEN), sync, view, dumps) {
            mapOf(
                VersionName("v1") to 0.95,
                VersionName("v2") to 0.05,
            )
        }
    private val server = AdminServer(metrics, dumps, operator) {
        if (sync.current.value == null) Problem(ErrorKind.NotReady, "the catalogue is not loaded yet") else null
    }

    val address: String get() = "http://127.0.0.1:${server.port}"

    init {
        server.start("127.0.0.1", 0)
    }

    /** Loads the catalogue. The instance is not ready until then. */
    fun startCatalogue() {
        sync.start()
        runBlocking { sync.current.first { it != null } }
    }

    override fun close() {
        server.close()
        scope.cancel()
    }

    companion object {
        const val TOKEN = "0123456789abcdef"
    }
}
