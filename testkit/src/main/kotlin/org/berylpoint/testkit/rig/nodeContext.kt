package org.berylpoint.testkit.rig

import org.berylpoint.entry.backend.BackendClient
import org.berylpoint.entry.node.NodeContext
import org.berylpoint.platform.InstanceList
import org.berylpoint.platform.ObjectStore
import org.berylpoint.platform.TableService
import kotlin.time.ExperimentalTime

/** The context of a node on [machine]: the rig's network and clocks, and the given fakes of the outside systems. */
@OptIn(ExperimentalTime::class)
public fun Rig.context(
    machine: Machine,
    table: TableService,
    objects: ObjectStore,
    instances: InstanceList,
    backends: BackendClient,
    seeds: List<String>,
): NodeContext = NodeContext(
    self = machine.instance,
    scope = machine.scope,
    time = time,
    wallClock = wallClock,
    random = machine.random,
    peers = machine.network,
    table = table,
    objects = objects,
    instances = instances,
    backends = backends,
    seeds = seeds,
)
