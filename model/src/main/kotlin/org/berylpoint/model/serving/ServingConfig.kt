package org.berylpoint.model.serving

import org.berylpoint.model.FailureDomain
import org.berylpoint.model.VersionName
import org.berylpoint.model.Workspace

/** The name of a service, a group of interchangeable backend servers. */
@JvmInline
public value class ServiceName(public val value: String) {
    override fun toString(): String = value
}

/** One accepted version of the configuration that operators write to the platform's store. */
public data class ServingConfig(
    val version: Long,
    val routes: List<Route>,
    val services: Map<ServiceName, Service>,
    /** Policies of all workspaces; empty if callers need no API key. */
    val workspaces: List<WorkspacePolicy>,
    val callerLimits: CallerLimits,
) {
    private val routesByHost: Map<String, List<Route>> = routes.groupBy { it.host }
        .mapValues { (_, hostRoutes) -> hostRoutes.sortedByDescending { it.prefix.length } }
    private val policiesByApiKey: Map<String, WorkspacePolicy> =
        workspaces.flatMap { policy -> policy.apiKeys.map { it to policy } }.toMap()

    /** Whether callers must present an API key. */
    val requiresApiKeys: Boolean get() = workspaces.isNotEmpty()

    /** The route on [host] with the longest prefix that matches [path], or null if none matches. */
    public fun findRoute(host: String, path: String): Route? =
        routesByHost[host]?.firstOrNull { path.startsWith(it.prefix) }

    /** The policy of the workspace that [apiKey] belongs to, or null if the key is unknown. */
    public fun policyForApiKey(apiKey: String): WorkspacePolicy? = policiesByApiKey[apiKey]
}

/** Whether a request may be retried after an attempt that a backend server may have run. */
public enum class RetrySafety {
    /** The request may run any number of times. */
    SAFE,

    /** The request must run at most once. */
    AT_MOST_ONCE,

    /** An event stream that must run at most once, unless the route is resumable. */
    STREAM,
}

/** Requests to one host and path prefix, with the services that handle them and their limits. */
public data class Route(
    val name: String,
    val host: String,
    val prefix: String,
    val retrySafety: RetrySafety,
    /** Services with their weights; one entry with weight 1 where traffic is not split. */
    val services: List<WeightedService>,
    /** Maximum time until the response is complete, in milliseconds. */
    val timeoutMillis: Long,
    /** Maximum time to a response, or to the first event of a stream, that counts as on time, in milliseconds. */
    val targetLatencyMillis: Long,
    /** Maximum gap between events of a stream that counts as on time, in milliseconds; 0 if not a stream. */
    val targetEventGapMillis: Long,
    /** Maximum number of backend servers that one request may run on. */
    val maxAttempts: Int,
    /** Priority of requests; 0 is the most urgent. */
    val priority: Int,
    /** Whether requests are accepted without an API key. */
    val isPublic: Boolean,
    /** Whether a broken stream may be resumed on another server. */
    val isResumable: Boolean,
) {
    /** Whether a request may run again after an attempt that may have run. */
    val isIdempotent: Boolean
        get() = retrySafety == RetrySafety.SAFE || (retrySafety == RetrySafety.STREAM && isResumable)
}

/** A service and its weight in the split of a route's traffic; weights are relative and need not add up to 1. */
public data class WeightedService(val service: ServiceName, val weight: Double)

/** A service and the limits of its backend servers. */
public data class Service(
    val name: ServiceName,
    val healthPath: String,
    /** Maximum number of connections to one server, over all callers. */
    val maxConnections: Int,
    /** Request rate that a cold server can handle; 0 if servers have no cold phase. */
    val coldRequestsPerSecond: Double,
    val coldStartMillis: Long,
    /** Limits of the model engine on each server; null for a plain service. */
    val engine: EngineLimits?,
    /** Null if the number of servers is fixed. */
    val scaling: ScalingLimits?,
)

/** Limits of one model engine; [batchSlots] is the number of requests that it processes in one batch. */
public data class EngineLimits(val batchSlots: Int, val kvCacheTokens: Long, val tokensPerEvent: Int)

/** Bounds for the number of servers of a service in each failure domain, and the prices of servers. */
public data class ScalingLimits(
    val min: Int,
    val max: Int,
    val bootMillis: Long,
    /** Price of a reclaimable server relative to an on-demand one; null if there are no reclaimable servers. */
    val reclaimablePriceShare: Double?,
    /** Relative price of an on-demand server in each failure domain. */
    val domainPrices: Map<FailureDomain, Double>,
)

/** API keys, priority and usage cap of one workspace. */
public data class WorkspacePolicy(
    val workspace: Workspace,
    val apiKeys: Set<String>,
    /** Takes precedence over the route's priority; null if only the route's priority applies. */
    val priority: Int?,
    /** Cap in tokens, or requests if not [countsTokens], per second over all entry instances; 0 for no cap. */
    val ratePerSecond: Double,
    /** Tokens or requests allowed on top of [ratePerSecond] in a burst. */
    val burst: Double,
    val countsTokens: Boolean,
    /** Tokens that a request without a token count is charged. */
    val defaultRequestTokens: Long,
)

/** Limits on the requests that callers send. A timeout of 0 means no limit. */
public data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
)

/** An operator's order to move a service's traffic to servers of another version within [durationMillis]. */
public data class RolloutOrder(
    val service: ServiceName,
    val to: VersionName,
    val durationMillis: Long,
    /** Revision of the store row that holds the order; tells apart successive orders for the same service. */
    val revision: Long,
    /** Era of the store in which [revision] was read; a restored store issues revisions again. */
    val era: Long = 0,
) {
    /** Identity of the order, by which instances and the store name it. */
    val id: RolloutId get() = RolloutId(revision, era)
}

/**
 * Identity of a rollout order: revision and era of the store row in which it was first seen. Two orders in a row have
 * different ones, also if they name the same version.
 */
public data class RolloutId(val revision: Long, val era: Long)

/** Progress of a rollout, as reported to operators. */
public enum class RolloutState { RUNNING, COMPLETED, ROLLED_BACK }
