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
 * Merges the current catalogue with the platform's instance list, which is read every [POLL_INTERVAL].
 *
 * For a server that is in both, the instance list determines state and address. While the list can't be read, the last
 * one that was read stays in use. A server of a retired entry, or of a failure domain that is out of service, is
 * reported as leaving without a set time.
 */
public class LiveServerDirectory(private val context: NodeContext, private val catalogue: CatalogueSource) :
    ServerDirectory {
    private var listed: List<ListedInstance.Backend> = emptyList()
    private var readAt: ComparableTimeMark = context.time.markNow()
    private var retired: Map<EntryName, CatalogueEntry> = emptyMap()
    private var lastMerge: MergeResult? = null

    private class MergeResult(
        val catalogue: Catalogue,
        val listed: List<ListedInstance.Backend>,
        val servers: ServerIndex,
    )

    private class ServerIndex(
        val byId: Map<BackendServerId, MergedServer>,
        val byClass: Map<RequestClass, List<MergedServer>>,
    )

    private class MergedServer(
        val server: BackendServer,
        val entry: CatalogueEntry,
        val isOutOfService: Boolean,
        /** Time until the server leaves, at the last read of the instance list; null if it isn't leaving. */
        val leavingMillis: Long?,
    )

    /** Starts to watch the catalogue and to poll the instance list. */
    public fun start() {
        context.scope.launch { catalogue.current.collect { if (it != null) servers(it) } }
        context.scope.launch {
            while (isActive) {
                val start = context.time.markNow()
                context.instances.read().fold(
                    ifLeft = { log.debug { "platform: failed to read the instance list: $it" } },
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
        servers()?.byClass?.get(requestClass).orEmpty()
            .filter { !it.isOutOfService && it.leavingMillis == null }
            .map { it.toListed() }

    override fun find(id: BackendServerId): ListedServer? = servers()?.byId?.get(id)?.toListed()

    override fun all(): List<ListedServer> = servers()?.byId?.values.orEmpty().map { it.toListed() }

    private fun servers(): ServerIndex? = catalogue.current.value?.let { servers(it) }

    private fun servers(current: Catalogue): ServerIndex {
        lastMerge?.let { if (it.catalogue === current && it.listed === listed) return it.servers }
        val removed = lastMerge?.catalogue?.entries.orEmpty() - current.entries.keys
        // Retired entries are kept because their servers may still run requests.
        retired = (retired + removed) - current.entries.keys
        return merge(current).also { lastMerge = MergeResult(current, listed, it) }
    }

    private fun merge(current: Catalogue): ServerIndex {
        val byId = linkedMapOf<BackendServerId, MergedServer>()
        (retired.values + current.entries.values).forEach { entry ->
            entry.servers.forEach { byId[it.id] = mergedServer(it, entry, current, null) }
        }
        listed.forEach { item ->
            val entry = current.entries[item.entry] ?: retired[item.entry]
            when (val status = item.status) {
                InstanceStatus.Terminated -> byId -= item.server.id

                InstanceStatus.Running ->
                    if (entry != null) byId[item.server.id] = mergedServer(item.server, entry, current, null)

                is InstanceStatus.Leaving ->
                    if (entry != null) {
                        byId[item.server.id] = mergedServer(item.server, entry, current, status.remainingMillis)
                    }
            }
        }
        return ServerIndex(byId, byId.values.groupBy { it.entry.requestClass })
    }

    private fun mergedServer(
        server: BackendServer,
        entry: CatalogueEntry,
        current: Catalogue,
        leavingMillis: Long?,
    ): MergedServer {
        val isOutOfService = entry.name !in current.entries || !current.isInService(server.failureDomain)
        return MergedServer(server, entry, isOutOfService, leavingMillis)
    }

    private fun MergedServer.toListed(): ListedServer {
        val state = when {
            leavingMillis != null -> {
                val passed = readAt.elapsedNow().inWholeMilliseconds
                ListedServer.State.Leaving((leavingMillis - passed).coerceAtLeast(0))
            }

            isOutOfService -> ListedServer.State.Leaving(null)

            else -> ListedServer.State.InService
        }
        return ListedServer(server, entry, state)
    }

    public companion object {
        /** Interval between reads of the instance list. */
        public val POLL_INTERVAL: Duration = 1.seconds
    }
}
