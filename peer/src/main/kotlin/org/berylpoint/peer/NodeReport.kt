@file:OptIn(ExperimentalSerializationApi::class)

package org.berylpoint.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborLabel

/**
 * What one entry instance tells the others several times a second, in one datagram.
 *
 * Counters only grow within a process, so a lost report is made up for by the next one.
 */
@Serializable
public data class NodeReport(
    @CborLabel(1) val name: String,
    @CborLabel(2) val domain: String,
    /** Wall clock at the start of the process; tells processes of one machine apart. */
    @CborLabel(3) val startedAtMillis: Long,
    @CborLabel(4) val sequence: Long,
    /** The sender's time of day. */
    @CborLabel(5) val wallMillis: Long,
    @CborLabel(6) val configVersion: Long = 0,
    @CborLabel(7) val loads: List<LoadPart> = emptyList(),
    /** Tokens or requests admitted, by workspace. */
    @CborLabel(8) val admitted: Map<String, Double> = emptyMap(),
    @CborLabel(9) val usage: List<WindowPart> = emptyList(),
    @CborLabel(10) val outcomes: List<VersionPart> = emptyList(),
    /** Fingerprints of requests that broke connections to servers, with the number of times. */
    @CborLabel(11) val crashes: Map<String, Int> = emptyMap(),
    @CborLabel(12) val demands: List<DemandPart> = emptyList(),
    /** Fencing number of the duty lease that the sender holds; 0 when it holds none. */
    @CborLabel(13) val dutyToken: Long = 0,
    @CborLabel(14) val isLeaving: Boolean = false,
    /** IP number and port on which the sender receives reports. */
    @CborLabel(15) val address: String = "",
    /** Newest store revisions that the sender has applied, by table. */
    @CborLabel(16) val revisions: Map<String, Long> = emptyMap(),
    /** Changed rows, for an instance that lacks them; such a report carries nothing else. */
    @CborLabel(17) val rows: RowsPart? = null,
    /** What all instances admitted in the last cap window as the sender knows it, by workspace; for new processes. */
    @CborLabel(18) val windowTotals: Map<String, Double> = emptyMap(),
    /** Usage of processes that have stopped reporting to the sender; for new processes. */
    @CborLabel(19) val silentProcesses: List<ProcessPart> = emptyList(),
    /** Whether the store does not serve the sender, which then depends on its peers for changed rows. */
    @CborLabel(20) val isCutOffFromStore: Boolean = false,
    /** What all requests have in common that seem to have crashed servers. */
    @CborLabel(21) val suspects: List<SuspectPart> = emptyList(),
    /** What the sender knows of [crashes] over all instances, with those of processes that have ended. */
    @CborLabel(22) val crashTotals: List<CrashTotalPart> = emptyList(),
    /** Outcomes by route, of services with servers of several versions. */
    @CborLabel(23) val routeOutcomes: List<RoutePart> = emptyList(),
    /** Whether the parts are left out that are not needed with each report; see [withoutSlowParts]. */
    @CborLabel(24) val isPartial: Boolean = false,
    /** Time on the store's clock, in milliseconds, up to which the sender has applied all changes, by table. */
    @CborLabel(25) val completeAsOf: Map<String, Long> = emptyMap(),
    /** Limits that servers have named to the sender lately. */
    @CborLabel(26) val limits: List<LimitPart> = emptyList(),
    /** Counts by server, workspace, service and fingerprint in the form of [pack]; empty unless packed. */
    @ByteString @CborLabel(27) val packed: ByteArray = NOT_PACKED,
    /** What runs, waits and was refused at the sender. */
    @CborLabel(28) val queues: List<QueuePart> = emptyList(),
    /** Whether the sender reads packed reports. Reports are packed only while all live instances do. */
    @CborLabel(29) val readsPacked: Boolean = false,
    /** Learned speeds of servers and durations of services, as [SpeedPart.encode] writes them; null for none. */
    @ByteString @CborLabel(40) val speeds: ByteArray? = null,
    /** Newest era of the store that the sender knows, to which [revisions] belong; null from older processes. */
    @CborLabel(50) val storeEra: Long? = null,
    /** Lowest revision of the store seen in [storeEra]; rows with higher ones were written in that era. */
    @CborLabel(51) val eraStart: Long? = null,
    /** Time since [storeEra] was first seen; null if that is long ago or if no other era was seen before. */
    @CborLabel(52) val eraAgeMillis: Long? = null,
    /** Tables that the sender has in an older era only. */
    @CborLabel(53) val awaitedTables: Map<String, AwaitedPart> = emptyMap(),
    /** Highest fencing token of the duty lease that the sender knows of; 0 for none. */
    @CborLabel(54) val highestDutyToken: Long = 0,
    /** Usage counts that were settled for a window; no other counts may be reported for it. */
    @CborLabel(55) val settledUsage: List<SettledPart> = emptyList(),
    /** Hash over the sender's rows from before a restore that are still in force; null when it needs no others. */
    @CborLabel(56) val retainedDigest: Int? = null,
    /** Rollouts that are ordered. Processes of a build without this field leave it out and don't read it. */
    @CborLabel(60) val rollouts: List<RolloutPart> = emptyList(),
    /** [loads] of a report that was packed, whose servers are known by the hashes of their ids only. */
    @Transient val hashedLoads: ServerLoads = ServerLoads.NONE,
) {
    /** The sender's requests at each server, in whichever form the report had them. */
    public val serverLoads: ServerLoads get() = if (loads.isEmpty()) hashedLoads else ServerLoads.of(loads)

    /** Newest era of the store that the sender knows; 0 from processes that know no eras. */
    public val era: Long get() = storeEra ?: 0

    internal companion object {
        val NOT_PACKED = ByteArray(0)
    }
}

/** Demand at the sender for one service, of one rank and workspace, in slots. */
@Serializable
public data class QueuePart(
    @CborLabel(1) val service: String,
    /** 0 for the most urgent requests. */
    @CborLabel(2) val rank: Int,
    /** Null for the sum of requests without a workspace and of the workspaces that are not listed. */
    @CborLabel(3) val workspace: String? = null,
    /** Requests that run at servers. */
    @CborLabel(4) val running: Int = 0,
    @CborLabel(5) val waiting: Double = 0.0,
    /** Slots that requests would have used which were refused lately. */
    @CborLabel(6) val refused: Double = 0.0,
)

/** What one process counted for [NodeReport.usage] in its last report. */
@Serializable
public data class ProcessPart(
    @CborLabel(1) val name: String,
    @CborLabel(2) val startedAtMillis: Long,
    @CborLabel(3) val usage: List<WindowPart>,
)

/** Changes of one table of the store, complete since the row with revision [after] and, if it is known, to [upTo]. */
@Serializable
public data class RowsPart(
    @CborLabel(1) val table: String,
    @CborLabel(2) val after: Long,
    @CborLabel(3) val rows: List<RowPart>,
    /** No change is missing up to this revision, which need not be that of a row; 0 if only [rows] are known. */
    @CborLabel(4) val upTo: Long = 0,
    /** Era of the store to which the revisions belong. */
    @CborLabel(50) val era: Long = 0,
    /** Whether [rows] are those that exist, in the order of their revisions, and not changes. */
    @CborLabel(51) val isSnapshot: Boolean = false,
    /** Whether the sender knows no row of a snapshot after [upTo]. */
    @CborLabel(52) val isLast: Boolean = false,
    /** Whether [rows] are from before a restore of the store, and in force until their owners write them again. */
    @CborLabel(53) val isRetained: Boolean = false,
    /** Time on the store's clock up to which a snapshot is complete; 0 if it is not known. */
    @CborLabel(54) val completeAsOf: Long = 0,
)

/** One changed or deleted row. */
@Serializable
public data class RowPart(
    @CborLabel(1) val key: String,
    @ByteString @CborLabel(2) val value: ByteArray,
    @CborLabel(3) val revision: Long,
    @CborLabel(4) val isDeleted: Boolean = false,
    /** Era of [revision] where it is not that of all rows sent. */
    @CborLabel(50) val era: Long? = null,
    /** Hash of the value where that is left out, since the receiver has the row from before a restore. */
    @CborLabel(51) val valueHash: Int? = null,
)

/** A table that the sender of a report is to be sent in the newest era of the store. */
@Serializable
public data class AwaitedPart(
    /** Revision up to which it was sent the rows. */
    @CborLabel(1) val after: Long,
    /** Revision of the era before up to which it has applied all rows; 0 if it needs all values. */
    @CborLabel(2) val appliedBefore: Long = 0,
)

/** The counts settled for a usage window, by workspace, and whether they were reported to the cloud. */
@Serializable
public data class SettledPart(
    @CborLabel(1) val window: Long,
    @CborLabel(2) val counts: Map<String, Long>,
    @CborLabel(3) val isReported: Boolean = false,
)

/** The sender's requests at one server. */
@Serializable
public data class LoadPart(
    @CborLabel(1) val server: String,
    @CborLabel(2) val active: Int,
    @CborLabel(3) val pendingTokens: Long,
)

/** The requests per second that a server process takes from all instances; null if it named no limit any more. */
@Serializable
public data class LimitPart(
    @CborLabel(1) val server: String,
    @CborLabel(2) val startedAtMillis: Long,
    @CborLabel(3) val perSecond: Double?,
    /** Time from the response that said so to the report. */
    @CborLabel(4) val ageMillis: Long,
)

/** Requests that began to run in one usage window, by workspace. */
@Serializable
public data class WindowPart(@CborLabel(1) val window: Long, @CborLabel(2) val counts: Map<String, Long>)

/** Outcomes of one version of a service that is being rolled out. */
@Serializable
public data class VersionPart(
    @CborLabel(1) val service: String,
    @CborLabel(2) val version: String,
    @CborLabel(3) val good: Long,
    @CborLabel(4) val bad: Long,
    /** Responses whose time is known, and the slow ones among them. */
    @CborLabel(5) val timed: Long = 0,
    @CborLabel(6) val slow: Long = 0,
    /** The bad outcomes that were error responses of the servers; 0 also from a process that doesn't count them. */
    @CborLabel(7) val errors: Long = 0,
)

/** Outcomes of one version of a service on one route. */
@Serializable
public data class RoutePart(
    @CborLabel(1) val service: String,
    @CborLabel(2) val version: String,
    @CborLabel(3) val route: String,
    @CborLabel(4) val good: Long,
    @CborLabel(5) val bad: Long,
)

/** What callers asked of one service so far. */
@Serializable
public data class DemandPart(
    @CborLabel(1) val service: String,
    /** Prompt tokens to prefill, without those that prefix caches are expected to hold. */
    @CborLabel(2) val prefillTokens: Long,
    @CborLabel(3) val outputTokens: Long,
    @CborLabel(4) val refused: Long,
)

/** A part of prompts, with the server processes that seem to have crashed during requests with it. */
@Serializable
public data class SuspectPart(@CborLabel(1) val part: String, @CborLabel(2) val crashes: List<CrashPart>)

/** A server process that seems to have crashed [ageMillis] before the report; refuted if it turned out otherwise. */
@Serializable
public data class CrashPart(
    @CborLabel(1) val process: String,
    @CborLabel(2) val ageMillis: Long,
    @CborLabel(3) val isRefuted: Boolean = false,
)

/** A request that seems to have crashed servers [count] times, the last time [ageMillis] before the report. */
@Serializable
public data class CrashTotalPart(
    @CborLabel(1) val fingerprint: String,
    @CborLabel(2) val count: Int,
    @CborLabel(3) val ageMillis: Long,
)

/** Codec of [NodeReport]; integer labels keep a report within one packet. */
public object NodeReportCodec {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
        preferCborLabelsOverNames = true
        encodeKeyTags = false
    }

    public fun encode(report: NodeReport): ByteArray = cbor.encodeToByteArray(NodeReport.serializer(), report)

    /**
     * The report in [bytes], unpacked; throws [kotlinx.serialization.SerializationException] if they are malformed.
     */
    public fun decode(bytes: ByteArray): NodeReport = cbor.decodeFromByteArray(NodeReport.serializer(), bytes).unpack()
}
