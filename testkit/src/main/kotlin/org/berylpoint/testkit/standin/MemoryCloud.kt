package org.berylpoint.testkit.standin

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import org.berylpoint.model.BackendServer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.InstanceId
import org.berylpoint.platform.CloudApi
import org.berylpoint.platform.InstanceStatus
import org.berylpoint.platform.PlatformError
import org.berylpoint.platform.StartOrder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The cloud's API in memory: started servers appear on [instances], stopped ones leave it as after a reclaim notice.
 *
 * Two orders with the same token start one server. [launch] makes the server of an order, under an id that is new, or
 * gives null when there is no capacity.
 */
public class MemoryCloud(
    private val instances: MemoryInstances,
    scope: CoroutineScope? = null,
    public val faults: Faults = Faults(scope),
    private val launch: (BackendServerId, StartOrder) -> BackendServer? = { id, order ->
        BackendServer(id, order.domain, "http://$id", order.reclaimable)
    },
) : CloudApi {
    private val lock = Any()
    private val started = linkedMapOf<StartOrder, BackendServerId>()
    private val stopped = mutableListOf<BackendServerId>()

    /** Whether the cloud has no capacity and refuses starts. */
    @Volatile
    public var refuseStarts: Boolean = false

    /** Notice that a stopped server gets. */
    @Volatile
    public var stopNotice: Duration = 30.seconds

    /** Orders that started a server, in order. */
    public val starts: Map<StartOrder, BackendServerId> get() = synchronized(lock) { started.toMap() }

    /** Servers that were stopped, in order. */
    public val stops: List<BackendServerId> get() = synchronized(lock) { stopped.toList() }

    /** The API as [caller] sees it, with the faults set for that caller. */
    public fun caller(caller: InstanceId): CloudApi = object : CloudApi {
        override suspend fun start(order: StartOrder) = start(caller, order)

        override suspend fun stop(server: BackendServerId) = stop(caller, server)
    }

    override suspend fun start(order: StartOrder): Either<PlatformError, BackendServerId> = start(null, order)

    override suspend fun stop(server: BackendServerId): Either<PlatformError, Unit> = stop(null, server)

    private suspend fun start(caller: InstanceId?, order: StartOrder): Either<PlatformError, BackendServerId> =
        faults.apply(StandInCall("start", true, caller)) { startNow(order) }

    private fun startNow(order: StartOrder): Either<PlatformError, BackendServerId> = synchronized(lock) {
        started.entries.find { it.key.token == order.token }?.let { return it.value.right() }
        val id = BackendServerId("${order.entry}-${started.size + 1}")
        val server = if (refuseStarts) null else launch(id, order)
        if (server == null) return PlatformError.Unavailable("no capacity in ${order.domain}").left()
        started[order] = id
        instances.put(order.entry, server)
        id.right()
    }

    private suspend fun stop(caller: InstanceId?, server: BackendServerId): Either<PlatformError, Unit> =
        faults.apply(StandInCall("stop", true, caller)) {
            synchronized(lock) {
                val listed = instances.content.find { it.name == server.value }
                if (listed != null && listed.status == InstanceStatus.Running) {
                    stopped += server
                    instances.setStatus(server, InstanceStatus.Leaving(stopNotice.inWholeMilliseconds))
                }
            }
            Unit.right()
        }
}
