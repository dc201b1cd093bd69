package org.berylpoint.model

import kotlinx.serialization.Serializable

/** A process, either a model engine or a plain HTTP service, that requests are sent to. */
@Serializable
public data class BackendServer(
    val id: BackendServerId,
    val failureDomain: FailureDomain,
    /** Base URL, as in `http://127.0.0.1:9000`. */
    val address: String,
    /** Whether the cloud provider may reclaim the machine at short notice. */
    val reclaimable: Boolean = false,
    /** Price in thousandths of the catalogue's currency unit per hour. */
    val pricePerHourMilli: Long = 0,
    /** Whether the server rejects an order with an outdated fencing token. */
    val honoursFencing: Boolean = true,
)
