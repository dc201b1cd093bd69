package org.berylpoint.model

import kotlinx.serialization.Serializable

/** An entry instance: a process that accepts requests from callers and routes them to backend servers. */
@Serializable
public data class Instance(
    /** Unique across restarts. */
    val id: InstanceId,
    val failureDomain: FailureDomain,
    /** IP address and port for connections from other entry instances, as in `127.0.0.1:7400`. */
    val peerAddress: String,
)
