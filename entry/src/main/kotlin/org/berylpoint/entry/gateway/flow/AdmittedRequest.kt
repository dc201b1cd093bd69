package org.berylpoint.entry.gateway.flow

import org.berylpoint.entry.gateway.caller.CallerRequest
import org.berylpoint.model.serving.Repeatability
import org.berylpoint.model.serving.Route
import org.berylpoint.model.serving.Service
import org.berylpoint.model.serving.WorkspacePolicy
import org.berylpoint.platform.wire.RequestHeaders
import org.berylpoint.policy.placement.Demand
import kotlin.random.Random

/** A request that the configuration allows, with its limits. Times are on the steady clock, in milliseconds. */
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
) {
    val isStream: Boolean get() = route.repeatability == Repeatability.STREAM
    val demand: Demand = Demand(
        promptTokens = tokens?.promptTokens ?: 0,
        affinityKey = tokens?.sharedKey,
        sharedTokens = tokens?.shared ?: 0,
        targetMillis = route.targetLatencyMillis,
        priority = route.priority,
    )

    /** What the request takes of its workspace's cap. */
    val capCost: Double
        get() = when {
            workspace?.countsTokens != true -> 1.0
            tokens != null -> tokens.total.toDouble()
            else -> workspace.plainTokens.toDouble()
        }

    /** Rank in a server's queue: the workspace's priority goes before the route's. */
    val serverPriority: Int
        get() = ((workspace?.priority ?: 0) * PRIORITY_STEP + route.priority).coerceIn(0, LOWEST_PRIORITY)

    /** Equal for requests that are the same to a server: path, workspace and body. */
    val fingerprint: String
        get() = "%08x%08x".format(
            caller.path.hashCode() * HASH_FACTOR + (workspace?.workspace?.name.hashCode()),
            caller.body.contentHashCode(),
        )

    private companion object {
        const val PRIORITY_STEP = 3
        const val LOWEST_PRIORITY = 9
        const val HASH_FACTOR = 31
    }
}

/** What a request says of its prompt. */
internal class DeclaredTokens(
    val promptTokens: Long,
    val outputTokens: Long,
    val sharedKey: String?,
    val shared: Long,
) {
    /** What the request counts for in a cap of tokens. */
    val total: Long get() = promptTokens + outputTokens

    companion object {
        /** Reads the token headers of [request]; null without them. */
        fun of(request: CallerRequest): DeclaredTokens? {
            val numbers = request.header(RequestHeaders.TOKENS)?.split(',')?.mapNotNull { it.trim().toLongOrNull() }
            if (numbers == null || numbers.size != 2) return null
            val parts = request.header(RequestHeaders.PROMPT_PARTS).orEmpty().split(',').map { it.trim() }
            // The last part is the request's own, so only those before it can be cached by another request.
            val shared = parts.dropLast(1).filter { ':' in it }
            val sharedTokens = shared.sumOf { it.substringAfterLast(':').toLongOrNull() ?: 0 }
            val key = shared.lastOrNull()?.substringBeforeLast(':')
            return DeclaredTokens(numbers[0], numbers[1], key, sharedTokens.coerceAtMost(numbers[0]))
        }
    }
}

/** Draws one of the route's services by weight. */
internal fun Route.selectService(random: Random): org.berylpoint.model.serving.ServiceName {
    if (services.size == 1) return services.first().service
    var point = random.nextDouble() * services.sumOf { it.weight }
    return services.firstOrNull {
        point -= it.weight
        point < 0
    }?.service ?: services.last().service
}
