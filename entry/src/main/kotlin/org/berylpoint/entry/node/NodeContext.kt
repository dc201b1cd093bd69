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
 * External dependencies of an entry instance: clocks, network, platform services and backend servers.
 *
 * A process uses sockets, HTTP clients and the system clocks; tests use in-memory links and virtual time.
 */
@OptIn(ExperimentalTime::class)
public class NodeContext(
    public val self: Instance,
    /** Parent scope of all the node's coroutines. Its dispatcher runs one coroutine at a time. */
    public val scope: CoroutineScope,
    public val time: TimeSource.WithComparableMarks,
    /** Only for times that operators enter or read; all other times use [time]. */
    public val wallClock: Clock,
    public val random: Random,
    public val peers: PeerNetwork,
    public val table: TableService,
    public val objects: ObjectStore,
    public val instances: InstanceList,
    public val backends: BackendClient,
    /** Peer addresses from the settings, tried until the first peer responds and at intervals after that. */
    public val seeds: List<String>,
) {
    /** Returns a copy with another [table]. */
    public fun withTable(table: TableService): NodeContext =
        NodeContext(self, scope, time, wallClock, random, peers, table, objects, instances, backends, seeds)
}
