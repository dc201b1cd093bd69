package org.berylpoint.peer

import kotlinx.serialization.Serializable
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.Fingerprint
import org.berylpoint.model.IdempotencyKey
import org.berylpoint.model.Instance
import org.berylpoint.model.InstanceId
import org.berylpoint.model.RequestClass
import org.berylpoint.model.RequestId
import org.berylpoint.model.VersionName
import org.berylpoint.model.Workspace

/** The messages between entry instances. Durations are in milliseconds and relative: clocks are not compared. */
@Serializable
public sealed interface PeerMessage {
    /** Soft-state announcement of [sender], answered with the receiver's own. */
    @Serializable
    public data class Heartbeat(
        val sender: Instance,
        /** A bounded sample of the members that the sender has heard of. */
        val members: List<MemberDigest> = emptyList(),
        /** Members that the sender knows to be gone. */
        val departed: List<InstanceId> = emptyList(),
        val epochs: List<EpochDigest> = emptyList(),
        val catalogueVersion: Long = 0,
        /** Age of the sender's newest proof that [catalogueVersion] is the newest; -1 without one. */
        val catalogueProofAgeMillis: Long = -1,
        /** Whether the sender reached the table service lately, and so can relay. */
        val reachesTable: Boolean = false,
        val servers: List<ServerDigest> = emptyList(),
        val evidence: List<EvidenceCounter> = emptyList(),
        val crashes: List<CrashMark> = emptyList(),
    ) : PeerMessage

    /** The sender stops: it is confirmed gone once its running requests have ended. */
    @Serializable
    public data class Leave(val instance: InstanceId) : PeerMessage

    /** A receipt without content. */
    @Serializable
    public data object Ack : PeerMessage

    /** The receiver can't do what was asked. */
    @Serializable
    public data class Refusal(val reason: String) : PeerMessage

    /** Asks the owner of [server] for a place in flight. */
    @Serializable
    public data class Reserve(
        val server: BackendServerId,
        val request: RequestId,
        /** Time until the request's deadline. */
        val remainingMillis: Long,
        /** How long the owner may keep the call waiting for a place. */
        val waitMillis: Long,
        val worth: Double = 1.0,
    ) : PeerMessage

    /** A place in flight, to be used within [startWithinMillis] of the call's start. */
    @Serializable
    public data class Granted(
        val grant: Long,
        val epoch: Long,
        val startWithinMillis: Long,
        val inFlight: Int,
        val limit: Int,
    ) : PeerMessage

    /** No place; the load tells the caller where to ask next. */
    @Serializable
    public data class Denied(val reason: DenyReason, val inFlight: Int = 0, val limit: Int = 0) : PeerMessage

    /** Gives a grant back with the outcome of the request. */
    @Serializable
    public data class Release(val server: BackendServerId, val grant: Long, val outcome: AttemptOutcome) : PeerMessage

    /** Requests of [holder] in flight on [server], for a new owner. */
    @Serializable
    public data class InFlightReport(
        val holder: InstanceId,
        val epoch: Long,
        val inFlight: Map<BackendServerId, List<GrantRecord>>,
    ) : PeerMessage

    /** Ramp and grants of servers whose owner changes from the sender to the receiver. */
    @Serializable
    public data class Handover(val epoch: Long, val servers: Map<BackendServerId, HandedServer>) : PeerMessage

    /** Asks for the catalogue if the receiver has a higher version than [known]. */
    @Serializable
    public data class FetchCatalogue(val known: Long) : PeerMessage

    /** The catalogue of the receiver, or null when it is not newer; with the updates since [FetchCatalogue.known]. */
    @Serializable
    public data class CatalogueData(val catalogue: Catalogue?, val updates: List<CatalogueUpdate> = emptyList()) :
        PeerMessage

    /** A table service call for the receiver to make; [call] is JSON of the platform module's `TableCall`. */
    @Serializable
    public data class TableRelay(val call: String) : PeerMessage

    /** The answer to a [TableRelay]; JSON of the platform module's `TableResult`. */
    @Serializable
    public data class TableRelayed(val result: String) : PeerMessage

    /** Keys of accepted requests that the sender leaves for the receiver to run. */
    @Serializable
    public data class TakeOver(val from: InstanceId, val keys: List<KeyOf>) : PeerMessage

    /** Asks for agreement before an attempt of a request that has crashed a backend server once. */
    @Serializable
    public data class CrashNotice(
        val fingerprint: Fingerprint,
        val attempt: String,
        val crashed: Boolean,
        /** Set when no other request that has crashed a server is to run on this one meanwhile. */
        val server: BackendServerId? = null,
    ) : PeerMessage

    /** Asks for the state of the receiver's components, or of one of them, for operators. */
    @Serializable
    public data class FetchDump(val component: String? = null) : PeerMessage

    /** The answer to a [FetchDump]: a JSON object of states by component. */
    @Serializable
    public data class DumpData(val json: String) : PeerMessage
}

/** A member and the time since it was last heard from, directly or through others. */
@Serializable
public data class MemberDigest(val instance: Instance, val ageMillis: Long)

/** Why an owner denied a place. */
@Serializable
public enum class DenyReason { FULL, NOT_OWNER, RECOVERING, OUT_OF_SERVICE, SHUTTING_DOWN }

/** How an attempt on a backend server ended, as its owner needs to know for ramp and ejection. */
@Serializable
public enum class AttemptOutcome { COMPLETED, SLOW, FAILED, CRASHED, NOT_SENT, CANCELLED }

/** One grant in flight and the time until it ends at the latest. */
@Serializable
public data class GrantRecord(val grant: Long, val endsWithinMillis: Long)

/** What an old owner knows of a server: its current limit and its grants. */
@Serializable
public data class HandedServer(val limit: Int, val grants: Map<InstanceId, List<GrantRecord>>)

/** The epoch of a failure domain and the age of the newest read of its row, -1 when never read. */
@Serializable
public data class EpochDigest(
    val domain: FailureDomain,
    val epoch: Long,
    /** The members; null in most heartbeats once the epoch has had time to spread, since the list is long. */
    val members: List<Instance>? = null,
    val ageMillis: Long = -1,
)

/** The current limit and load of an owned server, for placement and for a later owner. */
@Serializable
public data class ServerDigest(val server: BackendServerId, val inFlight: Int, val limit: Int)

/** Outcomes that [reporter] counted for a version on a route and link; counters only grow. */
@Serializable
public data class EvidenceCounter(
    val reporter: InstanceId,
    val requestClass: RequestClass,
    val version: VersionName,
    val route: String,
    val from: FailureDomain,
    val to: FailureDomain,
    val good: Long,
    val bad: Long,
    /** Set for slow outcomes at a server that may only be cold; they count if most of the version's servers are. */
    val heldAt: BackendServerId? = null,
)

/** One crash of a backend server that [attempt] of a request caused. */
@Serializable
public data class CrashMark(val fingerprint: Fingerprint, val attempt: String)

/** An idempotency key within its workspace. */
@Serializable
public data class KeyOf(val workspace: Workspace, val key: IdempotencyKey)
