package org.berylpoint.model

import kotlinx.serialization.Serializable

/** One model engine or plain service process that requests are sent to. */
@Serializable
public data class BackendServer(
    val id: BackendServerId,
    val failureDomain: FailureDomain,
    /** Base address, as in `http://127.0.0.1:9000`. */
    val address: String,
    /** Whether the cloud may reclaim it at short notice. */
    val reclaimable: Boolean = false,
    /** Price in thousandths of the catalogue's currency unit per hour. */
    val pricePerHourMilli: Long = 0,
    /** Whether the server refuses an order that carries an old fencing number. */
    val honoursFencing: Boolean = true,
)
