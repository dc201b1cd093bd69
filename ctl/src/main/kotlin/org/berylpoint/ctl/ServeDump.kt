package org.berylpoint.ctl

import kotlinx.serialization.Serializable

/** The part of the dump of a `berylpoint serve` instance that `berylctl queues` prints. */
@Serializable
internal data class ServeDump(val instance: String = "", val queues: List<ServeQueue> = emptyList())

/** The queue and the shares of one service. */
@Serializable
internal data class ServeQueue(
    val service: String,
    val capacity: Int,
    val limited: Boolean,
    val running: Int,
    val waiting: Int,
    val groups: List<ServeGroup> = emptyList(),
)

/** The requests of one rank and workspace; without a workspace, those that reports do not list by name. */
@Serializable
internal data class ServeGroup(
    val rank: Int,
    val workspace: String? = null,
    val share: Double? = null,
    val demand: Double? = null,
    val running: Int = 0,
    val waiting: Int = 0,
    val refused: Double = 0.0,
)
