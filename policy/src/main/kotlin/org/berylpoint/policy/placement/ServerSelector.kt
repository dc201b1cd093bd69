package org.berylpoint.policy.placement

import org.berylpoint.model.BackendServerId
import org.berylpoint.policy.Rendezvous
import org.berylpoint.policy.performance.ServerExpectation
import kotlin.math.ln
import kotlin.random.Random

/** A server that could serve a request, with its load as known to this instance. */
public data class ServerCandidate(
    val id: BackendServerId,
    /** Whether the server is in the failure domain of this instance. */
    val isLocal: Boolean,
    /** Requests in progress at the server, sent by any instance. */
    val active: Int,
    /** Prompt tokens waiting for prefill: those of requests sent to the server that have had no first event yet. */
    val pendingTokens: Long,
    /** Requests that the server runs concurrently. */
    val slots: Int,
    /** What the performance model expects of the server while it runs [active] requests. */
    val expectation: ServerExpectation,
)

/** The properties of a request that decide on its server. */
public data class PlacementRequest(
    /** Prompt tokens; 0 for a request to a plain service. */
    val promptTokens: Long,
    /** Key of the shared prompt prefix: requests with the same key differ only in the last parts of their prompts. */
    val affinityKey: String?,
    /** Tokens of the shared prompt prefix. */
    val sharedTokens: Long,
    /** Time in milliseconds within which the first event is on time. */
    val targetMillis: Long,
    /** Priority; 0 is the most urgent. */
    val priority: Int,
    /** Whether the request may wait in a server's own queue, instead of starting at once. */
    val mayQueue: Boolean = true,
)

/** Result of selecting a server for a request. */
public sealed interface ServerSelection {
    /**
     * The request goes to [server]; its first event is expected after [expectedMillis]. [prefillTokens] are the prompt
     * tokens that the server has to prefill, without those that its prefix cache is assumed to hold.
     */
    public data class Selected(val server: BackendServerId, val expectedMillis: Double, val prefillTokens: Long) :
        ServerSelection

    /** No server can start the request in time; [waitMillis] is the estimated time until one can. */
    public data class Saturated(val waitMillis: Long) : ServerSelection

    /** The list of candidates is empty. */
    public data object NoCandidate : ServerSelection
}

/**
 * Selects the server with the lowest expected delay until the first event.
 *
 * The delay of an engine is the time to prefill the prompts that wait there and the part of this prompt that its prefix
 * cache lacks. Requests with the same affinity key prefer one server, selected by rendezvous hashing, so that every
 * instance finds the cache without being told its location. A busy preferred server is passed over as soon as
 * prefilling the shared prefix again elsewhere is cheaper.
 *
 * Many instances select by reports of the same age. So each of more than [MAX_COMPARING_INSTANCES] compares only a few
 * servers, drawn at random in proportion to speed and free slots (power of a few random choices); otherwise all would
 * send to the same one until the next reports. Few instances compare all servers.
 */
public object ServerSelector {
    /** Selects one of [candidates] for [request], at one of [instances] that select by the same reports. */
    public fun choose(
        request: PlacementRequest,
        candidates: List<ServerCandidate>,
        random: Random,
        instances: Int = Int.MAX_VALUE,
    ): ServerSelection {
        if (candidates.isEmpty()) return ServerSelection.NoCandidate
        val preferred = request.affinityKey?.let { key ->
            candidates.maxBy { Rendezvous.weight(key, it.id.value).toULong() }.id
        }
        val withCapacity = candidates.filter { it.active < maxActive(it, request) }
        if (withCapacity.isEmpty()) return ServerSelection.Saturated(NO_CAPACITY_WAIT_MILLIS)
        val maxDelay = request.targetMillis * maxDelayRatio(request.priority)
        val minDelay = withCapacity.minOf { delayMillis(request, it, preferred) }
        if (minDelay > maxDelay) {
            return ServerSelection.Saturated((minDelay - maxDelay).toLong().coerceAtLeast(MIN_WAIT_MILLIS))
        }
        val fastEnough = withCapacity.filter {
            delayMillis(request, it, preferred) <=
                maxOf(minDelay, request.targetMillis * COST_COMPARISON_RATIO)
        }
        val drawn = if (instances <= MAX_COMPARING_INSTANCES) fastEnough else sample(fastEnough, random)
        val compared = drawn + fastEnough.filter { it.id == preferred }
        val selected = compared.minBy { cost(request, it, preferred) }
        return ServerSelection.Selected(
            selected.id,
            delayMillis(request, selected, preferred) + selected.expectation.unavoidableMillis,
            prefillTokens(request, selected, preferred),
        )
    }

    /**
     * [COMPARED_SERVERS] of [servers] drawn without replacement, weighted by speed and free slots (Efraimidis and
     * Spirakis, 2006); all of them if they are few.
     */
    private fun sample(servers: List<ServerCandidate>, random: Random): List<ServerCandidate> {
        if (servers.size <= MAX_FULLY_COMPARED) return servers
        return servers.map { it to -ln(1 - random.nextDouble()) / weight(it) }
            .sortedBy { it.second }
            .take(COMPARED_SERVERS)
            .map { it.first }
    }

    private fun weight(server: ServerCandidate): Double {
        val freeSlots = (server.slots - server.active).coerceAtLeast(0) + MIN_FREE_SLOTS
        val locality = if (server.isLocal) 1.0 else REMOTE_WEIGHT
        return server.expectation.speedFactor * freeSlots * locality
    }

    /** The delay plus the cost to other requests: shared tokens prefilled again, and traffic between domains. */
    private fun cost(request: PlacementRequest, server: ServerCandidate, preferred: BackendServerId?): Double {
        val repeatedTokens = if (server.id == preferred) 0 else request.sharedTokens
        val remoteCost = if (server.isLocal) 0.0 else REMOTE_COST_MILLIS
        return delayMillis(request, server, preferred) +
            repeatedTokens * server.expectation.millisPerPromptToken * REPEATED_PREFILL_WEIGHT + remoteCost
    }

    /** The delay beyond what any server takes: only that is a reason to refuse a request or to compare servers. */
    private fun delayMillis(request: PlacementRequest, server: ServerCandidate, preferred: BackendServerId?): Double =
        server.expectation.run {
            millis(server.pendingTokens + prefillTokens(request, server, preferred)) - unavoidableMillis
        }.coerceAtLeast(0.0)

    private fun prefillTokens(request: PlacementRequest, server: ServerCandidate, preferred: BackendServerId?): Long {
        val cached = if (server.id == preferred) request.sharedTokens else 0
        return (request.promptTokens - cached).coerceAtLeast(0)
    }

    /** Requests that may be in progress at [server]; urgent requests may use more of the server's queue. */
    private fun maxActive(server: ServerCandidate, request: PlacementRequest): Int {
        if (!request.mayQueue) return server.slots
        val queueRatio = if (request.priority == 0) URGENT_QUEUE_RATIO else QUEUE_RATIO
        return (server.slots * (1 + queueRatio)).toInt().coerceAtLeast(server.slots + 1)
    }

    private fun maxDelayRatio(priority: Int): Double = when (priority) {
        0 -> URGENT_MAX_DELAY_RATIO
        1 -> NORMAL_MAX_DELAY_RATIO
        else -> LOW_MAX_DELAY_RATIO
    }

    /** Servers among which the cheapest is selected, where there are more than [MAX_FULLY_COMPARED]. */
    private const val COMPARED_SERVERS = 2
    private const val MAX_FULLY_COMPARED = 8

    /** Weight of a server without free slots, which may have become free since the reports. */
    private const val MIN_FREE_SLOTS = 0.25

    /** Weight of a server in another failure domain, relative to one like it in the domain of the instance. */
    private const val REMOTE_WEIGHT = 0.2

    /** Cost of sending a request to another failure domain. */
    private const val REMOTE_COST_MILLIS = 3.0

    /** Servers whose delay is within this fraction of the target are compared by cost instead of by delay alone. */
    private const val COST_COMPARISON_RATIO = 0.5

    /** Weight of prefilling shared tokens again, beyond this request's own delay: it delays others at the server. */
    private const val REPEATED_PREFILL_WEIGHT = 2.0

    /** Instances that may all compare all servers: what they send between two reports is little for a server. */
    private const val MAX_COMPARING_INSTANCES = 16

    /** Requests that may wait in a server's own queue, as a fraction of its slots. */
    private const val QUEUE_RATIO = 0.1
    private const val URGENT_QUEUE_RATIO = 0.3

    /**
     * Highest expected delay with which a request is still sent, as a multiple of the target; lower for less urgent
     * requests, so that these are refused first.
     */
    private const val URGENT_MAX_DELAY_RATIO = 2.0
    private const val NORMAL_MAX_DELAY_RATIO = 1.5
    private const val LOW_MAX_DELAY_RATIO = 1.0
    private const val NO_CAPACITY_WAIT_MILLIS = 300L
    private const val MIN_WAIT_MILLIS = 100L
}
