package org.berylpoint.model.serving

import org.berylpoint.model.BackendServerId
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.VersionName

/** A backend server as described by the entry that it registered in the platform's store. */
public data class RegisteredServer(
    val id: BackendServerId,
    /** Start time in Unix milliseconds; a server restarted under the same [id] has lost its earlier state. */
    val startedAtMillis: Long,
    val service: ServiceName,
    /** IP address and port. */
    val address: String,
    val domain: FailureDomain,
    val version: VersionName,
    /** Number of requests that it processes in parallel. */
    val slots: Int,
    /** Whether it accepts no new requests because it is about to shut down. */
    val isDraining: Boolean,
    /** Remaining time until it is warm, counted from when the entry was written; 0 for a warm server. */
    val coldRemainingMillis: Long,
    /** Whether the cloud provider may reclaim the machine at short notice. */
    val isReclaimable: Boolean,
)
