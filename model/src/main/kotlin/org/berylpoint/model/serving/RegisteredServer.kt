package org.berylpoint.model.serving

import org.berylpoint.model.BackendServerId
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.VersionName

/** A backend server as it registered itself on the platform. */
public data class RegisteredServer(
    val id: BackendServerId,
    /** Unix milliseconds of its start; another start under the same [id] has forgotten all before it. */
    val startedAtMillis: Long,
    val service: ServiceName,
    /** IP number and port. */
    val address: String,
    val domain: FailureDomain,
    val version: VersionName,
    val slots: Int,
    /** Whether it takes no new requests since it is about to leave. */
    val isDraining: Boolean,
    /** How much longer it stays cold, counted from when the entry was written. */
    val coldRemainingMillis: Long,
    /** Whether the cloud may take it back at short notice. */
    val isReclaimable: Boolean,
)
