package org.berylpoint.model

import kotlinx.serialization.Serializable

/** One entry instance: a process that accepts requests, and the address at which its peers reach it. */
@Serializable
public data class Instance(
    /** Unique over restarts. */
    val id: InstanceId,
    val failureDomain: FailureDomain,
    /** IP number and port, as in `127.0.0.1:7400`. */
    val peerAddress: String,
)
