package org.berylpoint.entry.backend

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.berylpoint.entry.catalogue.CatalogueSource
import org.berylpoint.entry.node.NodeContext
import org.berylpoint.model.BackendServer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueEntry
import org.berylpoint.model.EntryName
import org.berylpoint.model.RequestClass
import org.berylpoint.platform.InstanceStatus
import org.berylpoint.platform.ListedInstance
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/**
 * Merges the catalogue in force with the platform's instance list, which is read every [POLL_INTERVAL].
 *
 * For a server that is in both, the list tells state and address. While the list can't be read, its last state
 * holds. A server of a retired entry, or of a failure domain out of service, is known as leaving without a set time.
 */
public class LiveServerDirectory(private val context: NodeContext, private val catalogue: CatalogueSource) :
    ServerDirectory {
    private var listed: List<ListedInstance.Backend> = emptyList()
    private var readAt: ComparableTimeMark = context.time.markNow()
    private var retired: Map<EntryName, CatalogueEntry> = emptyMap()
    private var merged: Merged? = null

    private class Merged(val catalogue: Catalogue, val listed: List<ListedInstance.Backend>, val servers: Servers)

    private class Servers(val byId: Map<BackendServerId, Known>, val byClass: Map<RequestClass, List<Known>>)

    private class Known(val server: BackendServer, val entry: CatalogueEntry, val isOut: Boolean, val leaving: Long?)

    /** Starts to read the instance list. */
    public fun start() {
        context.scope.launch { catalogue.current.collect { if (it != null) servers(it) } }
        context.scope.launch {
            while (isActive) {
                val start = context.time.markNow()
                context.instances.read().fold(
                    ifLeft = { log.debug { "platform: the instance list can't be read: $it" } },
                    ifRight = { list ->
                        listed = list.filterIsInstance<ListedInstance.Backend>()
                        readAt = start
                    },
                )
                delay(POLL_INTERVAL - start.elapsedNow())
            }
        }
    }

    override fun candidates(requestClass: RequestClass): List<ListedServer> =
        servers()?.byClass?.get(requestClass).orEmpty().filter { !it.isOut && it.leaving == null }.map { it.toListed() }

    override fun find(id: BackendServerId): ListedServer? = servers()?.byId?.get(id)?.toListed()

    override fun all(): List<ListedServer> = servers()?.byId?.values.orEmpty().map { it.toListed() }

    private fun servers(): Servers? = catalogue.current.value?.let { servers(it) }

    private fun servers(current: Catalogue): Servers {
        merged?.let { if (it.catalogue === current && it.listed === listed) return it.servers }
        val gone = merged?.catalogue?.entries.orEmpty() - current.entries.keys
        // Retired entries are kept for their servers that still run requests.
        retired = (retired + gone) - current.entries.keys
        return merge(current).also { merged = Merged(current, listed, it) }
    }

    private fun merge(current: Catalogue): Servers {
        val byId = linkedMapOf<BackendServerId, Known>()
        (retired.values + current.entries.values).forEach { entry ->
            entry.servers.forEach { byId[it.id] = known(it, entry, current, null) }
        }
        listed.forEach { item ->
            val entry = current.entries[item.entry] ?: retired[item.entry]
            when (val status = item.status) {
                InstanceStatus.Terminated -> byId -= item.server.id

                InstanceStatus.Running ->
                    if (entry != null) byId[item.server.id] = known(item.server, entry, current, null)

                is InstanceStatus.Leaving ->
                    if (entry != null) {
                        byId[item.server.id] = known(item.server, entry, current, status.remainingMillis)
                    }
            }
        }
        return Servers(byId, byId.values.groupBy { it.entry.requestClass })
    }

    private fun known(server: BackendServer, entry: CatalogueEntry, current: Catalogue, leaving: Long?): Known {
        val isOut = entry.name !in current.entries || !current.isInService(server.failureDomain)
        return Known(server, entry, isOut, leaving)
    }

    private fun Known.toListed(): ListedServer {
        val state = when {
            leaving != null -> {
                val passed = readAt.elapsedNow().inWholeMilliseconds
                ListedServer.State.Leaving((leaving - passed).coerceAtLeast(0))
            }

            isOut -> ListedServer.State.Leaving(null)

            else -> ListedServer.State.InService
        }
        return ListedServer(server, entry, state)
    }

    public companion object {
        /** Time from one read of the instance list to the next. */
        public val POLL_INTERVAL: Duration = 1.seconds
    }
}
