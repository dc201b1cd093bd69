@file:OptIn(ExperimentalSerializationApi::class)

package org.berylpoint.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** What the sender knows of one rollout order, and has sent to its versions. */
@Serializable
public data class RolloutPart(
    @CborLabel(1) val service: String,
    /** Revision and era of the store row in which the order was first seen. */
    @CborLabel(2) val revision: Long,
    @CborLabel(3) val era: Long = 0,
    /** Requests to servers of the service since the sender knows the order, and those of them to the new version. */
    @CborLabel(4) val sent: Long = 0,
    @CborLabel(5) val sentToNew: Long = 0,
    /** Whether the outcomes that the sender knows speak against the new version. */
    @CborLabel(6) val isRejected: Boolean = false,
    /** Whether the sender knows that the store has the decision that the rollout is completed, or taken back. */
    @CborLabel(7) val isCompleted: Boolean = false,
    @CborLabel(8) val isRolledBack: Boolean = false,
    /** What all instances are to do until then; only from the holder of the duties. */
    @CborLabel(9) val plan: RolloutPlanPart? = null,
    /** Versions of earlier orders that must not get requests. */
    @CborLabel(10) val barred: List<String> = emptyList(),
)

/** How the holder of the duties splits the traffic of a service that is being rolled out. */
@Serializable
public data class RolloutPlanPart(
    /** Share of the new version, in thousandths. */
    @CborLabel(1) val sharePerMille: Int,
    /** Time from the report to the end of the order's time; negative after it. */
    @CborLabel(2) val remainingMillis: Long,
    /** Time from the report to the moment from which on the new version gets all traffic; null if it isn't known. */
    @CborLabel(3) val handoverInMillis: Long? = null,
)
