package org.berylpoint.model.serving

import org.berylpoint.model.FailureDomain
import org.berylpoint.model.VersionName
import org.berylpoint.model.Workspace

/** Name of a service: a group of interchangeable backend servers. */
@JvmInline
public value class ServiceName(public val value: String) {
    override fun toString(): String = value
}

/** One accepted version of the operators' configuration: routes, services, workspaces and limits on callers. */
public data class ServingConfig(
    val version: Long,
    val routes: List<Route>,
    val services: Map<ServiceName, Service>,
    val workspaces: List<WorkspacePolicy>,
    val callerLimits: CallerLimits,
) {
    private val byHost: Map<String, List<Route>> = routes.groupBy { it.host }
        .mapValues { (_, its) -> its.sortedByDescending { it.prefix.length } }
    private val byKey: Map<String, WorkspacePolicy> =
        workspaces.flatMap { policy -> policy.apiKeys.map { it to policy } }.toMap()

    /** Whether callers have to present a key. */
    val requiresApiKeys: Boolean get() = workspaces.isNotEmpty()

    /** The route with the longest prefix of [path] on [host], or null. */
    public fun findRoute(host: String, path: String): Route? = byHost[host]?.firstOrNull { path.startsWith(it.prefix) }

    /** The workspace that holds [apiKey], or null. */
    public fun policyForApiKey(apiKey: String): WorkspacePolicy? = byKey[apiKey]
}

/** Which requests may be sent again after an attempt that may have run. */
public enum class RetrySafety {
    /** May run any number of times. */
    SAFE,

    /** Runs at most once. */
    AT_MOST_ONCE,

    /** A stream of events that runs at most once, unless the route is resumable. */
    STREAM,
}

/** Requests of one host and path prefix, with their service and limits. */
public data class Route(
    val name: String,
    val host: String,
    val prefix: String,
    val retrySafety: RetrySafety,
    /** Services with their weights; one entry with weight 1 where traffic is not split. */
    val services: List<WeightedService>,
    /** Longest time until the final answer, in milliseconds. */
    val timeoutMillis: Long,
    /** Time within which an answer, or the first event of a stream, counts as on time, in milliseconds. */
    val targetLatencyMillis: Long,
    /** Longest pause between events of a stream that counts as on time, in milliseconds; 0 for no stream. */
    val targetEventGapMillis: Long,
    /** Most servers that one request may run on. */
    val maxAttempts: Int,
    /** Rank, 0 being the most urgent. */
    val priority: Int,
    /** Whether requests need no key. */
    val isPublic: Boolean,
    /** Whether a broken stream may continue on another server. */
    val isResumable: Boolean,
) {
    /** Whether a request may run again after an attempt of it may have run. */
    val isIdempotent: Boolean
        get() = retrySafety == RetrySafety.SAFE || (retrySafety == RetrySafety.STREAM && isResumable)
}

/** A service and its share of a route's traffic. */
public data class WeightedService(val service: ServiceName, val weight: Double)

/** Limits of the servers of one service. */
public data class Service(
    val name: ServiceName,
    val healthPath: String,
    /** Connections that one server takes from all callers together. */
    val maxConnections: Int,
    /** Requests that a cold server carries in a second; 0 without a cold phase. */
    val coldRequestsPerSecond: Double,
    val coldStartMillis: Long,
    /** Null for a plain service. */
    val engine: EngineLimits?,
    /** Null when the number of servers is fixed. */
    val scaling: ScalingLimits?,
)

/** Limits of one model engine. */
public data class EngineLimits(val batchSlots: Int, val kvCacheTokens: Long, val tokensPerEvent: Int)

/** Bounds and prices of the number of servers of a service, for each failure domain. */
public data class ScalingLimits(
    val min: Int,
    val max: Int,
    val bootMillis: Long,
    /** Price of a reclaimable server as a share of the price of an on-demand one; null when there is none. */
    val reclaimablePriceShare: Double?,
    val domainPrices: Map<FailureDomain, Double>,
)

/** Keys, rank and usage cap of one workspace. */
public data class WorkspacePolicy(
    val workspace: Workspace,
    val apiKeys: Set<String>,
    /** Goes before the route's priority; null where the route's counts. */
    val priority: Int?,
    /** Tokens, or requests where [countsTokens] is false, in a second over all instances; 0 without a cap. */
    val ratePerSecond: Double,
    val burst: Double,
    val countsTokens: Boolean,
    /** Tokens that a request without a token count stands for. */
    val defaultRequestTokens: Long,
)

/** Limits on what callers send. Times are in milliseconds; 0 means no limit. */
public data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
)

/** An order to move a service's traffic to servers of another version within a time. */
public data class RolloutOrder(
    val service: ServiceName,
    val to: VersionName,
    val durationMillis: Long,
    /** Version of the store's row that holds the order; another order of the same service has another one. */
    val revision: Long,
)

/** How a rollout stands, as operators read it. */
public enum class RolloutState { RUNNING, COMPLETED, ROLLED_BACK }
