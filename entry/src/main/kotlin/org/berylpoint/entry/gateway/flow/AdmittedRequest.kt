package org.berylpoint.entry.gateway.flow

import org.berylpoint.entry.gateway.caller.CallerRequest
import org.berylpoint.model.serving.RetrySafety
import org.berylpoint.model.serving.Route
import org.berylpoint.model.serving.Service
import org.berylpoint.model.serving.ServiceName
import org.berylpoint.model.serving.WorkspacePolicy
import org.berylpoint.platform.wire.RequestHeaders
import org.berylpoint.policy.placement.PlacementRequest
import kotlin.random.Random

/** A request that passed [Admission], with its limits. Times are on the steady clock, in milliseconds. */
internal class AdmittedRequest(
    val id: String,
    val caller: CallerRequest,
    val route: Route,
    val service: Service,
    val workspace: WorkspacePolicy?,
    val arrivedAtMillis: Long,
    /** The earlier of the caller's deadline and the route's timeout. */
    val deadlineMillis: Long,
    val tokens: DeclaredTokens?,
    /** The parts of the prompt that other requests may have too. */
    val sharedParts: List<PromptPart> = emptyList(),
) {
    val isStream: Boolean get() = route.retrySafety == RetrySafety.STREAM
    val demand: PlacementRequest = PlacementRequest(
        promptTokens = tokens?.promptTokens ?: 0,
        affinityKey = tokens?.prefixKey,
        sharedTokens = tokens?.prefixTokens ?: 0,
        targetMillis = route.targetLatencyMillis,
        priority = route.priority,
    )

    /** Cost that is charged to the workspace's cap, in tokens or requests. */
    val capCost: Double
        get() = when {
            workspace?.countsTokens != true -> 1.0
            tokens != null -> tokens.total.toDouble()
            else -> workspace.defaultRequestTokens.toDouble()
        }

    /** Rank within a server's queue, 0 being the most urgent; the workspace's priority outweighs the route's. */
    val serverPriority: Int get() = rank(route, workspace)

    /** Hash of path, workspace and body. Requests that a server can't tell apart have the same one. */
    val fingerprint: String by lazy(LazyThreadSafetyMode.NONE) {
        "%08x%08x".format(
            caller.path.hashCode() * HASH_FACTOR + (workspace?.workspace?.name.hashCode()),
            caller.body.contentHashCode(),
        )
    }

    companion object {
        /** A request with less time left is not sent again, nor does it wait for a server. */
        const val MIN_REMAINING_MILLIS = 30L
        private const val WORKSPACE_PRIORITY_WEIGHT = 3
        const val LOWEST_PRIORITY = 9
        private const val HASH_FACTOR = 31

        /** Rank of the requests of [workspace] to [route], 0 being the most urgent. */
        fun rank(route: Route, workspace: WorkspacePolicy?): Int =
            ((workspace?.priority ?: 0) * WORKSPACE_PRIORITY_WEIGHT + route.priority).coerceIn(0, LOWEST_PRIORITY)
    }
}

/**
 * Token counts that the caller declares in headers: prompt tokens, the most output tokens, and the [prefixTokens] of
 * the prompt that a server may have cached for other requests with the same [prefixKey].
 */
internal class DeclaredTokens(
    val promptTokens: Long,
    val outputTokens: Long,
    val prefixKey: String?,
    val prefixTokens: Long,
) {
    /** Prompt tokens that no other request shares, so that a server always has to prefill them. */
    val ownTokens: Long get() = promptTokens - prefixTokens

    /** Cost in a cap that counts tokens. */
    val total: Long get() = promptTokens + outputTokens

    companion object {
        /** Parses the token headers of [request]; null if the counts are missing or malformed. */
        fun of(request: CallerRequest, sharedParts: List<PromptPart>): DeclaredTokens? {
            val numbers = request.header(RequestHeaders.TOKENS)?.split(',')?.mapNotNull { it.trim().toLongOrNull() }
            if (numbers == null || numbers.size != 2) return null
            val prefixTokens = sharedParts.sumOf { it.tokens }
            val key = sharedParts.lastOrNull()?.id
            return DeclaredTokens(numbers[0], numbers[1], key, prefixTokens.coerceAtMost(numbers[0]))
        }
    }
}

/** Selects one of the route's services at random, by weight. */
internal fun Route.selectService(random: Random): ServiceName {
    if (services.size == 1) return services.first().service
    var remaining = random.nextDouble() * services.sumOf { it.weight }
    return services.firstOrNull {
        remaining -= it.weight
        remaining < 0
    }?.service ?: services.last().service
}
