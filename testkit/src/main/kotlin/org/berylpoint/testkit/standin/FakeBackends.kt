package org.berylpoint.testkit.standin

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import org.berylpoint.entry.backend.BackendCall
import org.berylpoint.entry.backend.BackendClient
import org.berylpoint.entry.backend.BackendEvent
import org.berylpoint.entry.backend.ProbeFailure
import org.berylpoint.model.BackendServer
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.Instance
import org.berylpoint.model.RequestId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/** A lasting fault of the link between two failure domains, in the direction of the calls. */
public sealed interface LinkFault {
    /** Packets are lost: calls get no answer and no error. */
    public data object Cut : LinkFault

    /** Each part takes [extra] longer. */
    public data class Slow(val extra: Duration) : LinkFault

    /** New calls break with this probability after the request was sent. */
    public data class Lossy(val probability: Double) : LinkFault
}

/** Stand-in servers by address, and the links between them and the entry instances, all in memory. */
public class FakeBackends(private val random: Random, private val linkDelay: Duration = 500.microseconds) {
    private val servers = mutableMapOf<String, FakeServer>()
    private val links = mutableMapOf<Pair<FailureDomain, FailureDomain>, LinkFault>()

    /** All servers, by address. */
    public val all: Map<String, FakeServer> get() = servers

    /** Adds a server, or puts it in the place of an earlier one at the same address. */
    public fun add(server: FakeServer) {
        servers[server.server.address] = server
    }

    /** The server named [id]. */
    public fun server(id: String): FakeServer = servers.values.first { it.server.id.value == id }

    /** Sets or, with null, ends a fault of the link from entry instances in [from] to servers in [to]. */
    public fun link(from: FailureDomain, to: FailureDomain, fault: LinkFault?) {
        if (fault == null) links.remove(from to to) else links[from to to] = fault
    }

    /** The client that the entry instance [self] uses. */
    public fun viewFor(self: Instance): BackendClient = View(self.failureDomain)

    private inner class View(private val from: FailureDomain) : BackendClient {
        override fun send(server: BackendServer, call: BackendCall): Flow<BackendEvent> = flow {
            cross(server)
            val target = servers[server.address]
            if (target == null || !target.isUp) {
                cross(server)
                emit(BackendEvent.Broken(sent = false, detail = "connection refused"))
                return@flow
            }
            val lossy = links[from to server.failureDomain] as? LinkFault.Lossy
            val connection = target.connect(call)
            if (lossy != null && random.nextDouble() < lossy.probability) {
                connection.disconnect(target)
                emit(BackendEvent.Broken(sent = true, detail = "connection reset"))
                return@flow
            }
            try {
                for (event in connection.incoming) {
                    cross(server)
                    emit(event)
                    if (event is BackendEvent.End || event is BackendEvent.Broken) return@flow
                }
                emit(BackendEvent.Broken(sent = true, detail = "connection closed"))
            } finally {
                connection.disconnect(target)
            }
        }

        override suspend fun probe(server: BackendServer, timeout: Duration): Either<ProbeFailure, Boolean> =
            withTimeoutOrNull(timeout) {
                cross(server)
                val target = servers[server.address]
                val answer = if (target == null || !target.isUp) {
                    ProbeFailure.Refused.left()
                } else {
                    target.health().right()
                }
                cross(server)
                answer
            } ?: ProbeFailure.TimedOut.left()

        override suspend fun exportKv(server: BackendServer, request: RequestId): String? {
            cross(server)
            return (servers[server.address] as? FakeModelEngine)?.exportKv(request).also { cross(server) }
        }

        override suspend fun importKv(server: BackendServer, handle: String): Boolean {
            cross(server)
            val engine = servers[server.address] as? FakeModelEngine
            return (engine?.importKv(handle) == true).also { cross(server) }
        }

        private suspend fun cross(server: BackendServer) {
            when (val fault = links[from to server.failureDomain]) {
                LinkFault.Cut -> awaitCancellation()
                is LinkFault.Slow -> delay(linkDelay + fault.extra)
                else -> delay(linkDelay)
            }
        }
    }
}
