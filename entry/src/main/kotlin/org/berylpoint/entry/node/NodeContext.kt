package org.berylpoint.entry.node

import kotlinx.coroutines.CoroutineScope
import org.berylpoint.entry.backend.BackendClient
import org.berylpoint.model.Instance
import org.berylpoint.peer.PeerNetwork
import org.berylpoint.platform.InstanceList
import org.berylpoint.platform.ObjectStore
import org.berylpoint.platform.TableService
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.ExperimentalTime
import kotlin.time.TimeSource

/**
 * Everything an entry instance sees of the world outside it.
 *
 * In a process these are sockets, HTTP clients and the system clocks; in tests, in-memory links and virtual time.
 */
@OptIn(ExperimentalTime::class)
public class NodeContext(
    public val self: Instance,
    /** Parent of all the node's coroutines; its dispatcher runs one of them at a time. */
    public val scope: CoroutineScope,
    public val time: TimeSource.WithComparableMarks,
    /** Only for times that operators state and read. */
    public val wallClock: Clock,
    public val random: Random,
    public val peers: PeerNetwork,
    public val table: TableService,
    public val objects: ObjectStore,
    public val instances: InstanceList,
    public val backends: BackendClient,
    /** Peer addresses from the settings, tried until the first peer answers and now and then later. */
    public val seeds: List<String>,
) {
    /** The same context with another way to the table service. */
    public fun withTable(table: TableService): NodeContext =
        NodeContext(self, scope, time, wallClock, random, peers, table, objects, instances, backends, seeds)
}
