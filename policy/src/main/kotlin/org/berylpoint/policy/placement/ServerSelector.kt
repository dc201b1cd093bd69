package org.berylpoint.policy.placement

import org.berylpoint.model.BackendServerId
import org.berylpoint.policy.Rendezvous

/** What is known of one server that could take a request. */
public data class ServerCandidate(
    val id: BackendServerId,
    val isLocal: Boolean,
    /** Requests in progress there, from all instances as far as known. */
    val active: Int,
    /** Prompt tokens that it has yet to read: of requests sent there whose first event has not come back. */
    val pendingTokens: Long,
    /** Requests that it runs at the same time. */
    val slots: Int,
    /** Tokens that it reads in a millisecond, as observed. */
    val prefillTokensPerMilli: Double,
    /** Factor on its estimated delay; above 1 for a server that was slower than others of its service. */
    val delayFactor: Double,
)

/** What a request asks of a server. */
public data class PlacementRequest(
    /** Prompt tokens; 0 for a plain request. */
    val promptTokens: Long,
    /** The cached parts' owner: requests with the same key share all but the last part of their prompts. */
    val affinityKey: String?,
    /** Tokens of the shared parts. */
    val sharedTokens: Long,
    /** Time within which the first event counts as on time, in milliseconds. */
    val targetMillis: Long,
    /** Rank, 0 being the most urgent. */
    val priority: Int,
)

/** Where a request goes. */
public sealed interface ServerSelection {
    /** [prefillTokens] are the prompt tokens to read there, without those that the cache is taken to hold. */
    public data class Selected(val server: BackendServerId, val expectedMillis: Double, val prefillTokens: Long) : ServerSelection

    /** No server can start it in time; the earliest one that could needs [waitMillis]. */
    public data class Saturated(val waitMillis: Long) : ServerSelection

    /** There is no candidate at all. */
    public data object NoCandidate : ServerSelection
}

/**
 * Chooses the server with the least expected delay until the first event.
 *
 * The delay of an engine is the time to read the prompts that wait there and the part of this prompt that its cache
 * lacks. Requests with the same shared parts prefer one server by rendezvous hashing, so every instance finds the cache
 * without being told where it is; a busy preferred server gives way as soon as reading the parts again is cheaper.
 */
public object ServerSelector {
    /** Chooses among [candidates]. */
    public fun choose(demand: PlacementRequest, candidates: List<ServerCandidate>): ServerSelection {
        if (candidates.isEmpty()) return ServerSelection.NoCandidate
        val preferred = demand.affinityKey?.let { key ->
            Rendezvous.ranked(key, candidates) { it.id.value }.take(COPIES).map { it.id }
        }.orEmpty()
        val room = candidates.filter { it.active < slotLimit(it, demand) }
        if (room.isEmpty()) return ServerSelection.Saturated(FULL_WAIT_MILLIS)
        val limit = demand.targetMillis * patience(demand.priority)
        val fastest = room.minOf { delayMillis(demand, it, preferred) }
        if (fastest > limit) return ServerSelection.Saturated((fastest - limit).toLong().coerceAtLeast(MIN_WAIT_MILLIS))
        val inTime = room.filter {
            delayMillis(demand, it, preferred) <=
                maxOf(fastest, demand.targetMillis * CALM_SHARE)
        }
        val chosen = inTime.minBy { cost(demand, it, preferred) }
        return ServerSelection.Selected(chosen.id, delayMillis(demand, chosen, preferred), prefillTokens(demand, chosen, preferred))
    }

    /** The delay, and what the request takes from others: parts that are read again, bytes between domains. */
    private fun cost(demand: PlacementRequest, server: ServerCandidate, preferred: List<BackendServerId>): Double {
        val again = if (server.id in preferred) 0 else demand.sharedTokens
        val remote = if (server.isLocal) 0.0 else REMOTE_MILLIS
        return delayMillis(demand, server, preferred) + again / server.prefillTokensPerMilli * REREAD_WEIGHT + remote
    }

    private fun delayMillis(demand: PlacementRequest, server: ServerCandidate, preferred: List<BackendServerId>): Double {
        val reading = (server.pendingTokens + prefillTokens(demand, server, preferred)) / server.prefillTokensPerMilli
        val sharing = server.active.toDouble() / server.slots * SHARING_MILLIS
        return (reading + sharing) * server.delayFactor
    }

    private fun prefillTokens(demand: PlacementRequest, server: ServerCandidate, preferred: List<BackendServerId>): Long {
        val cached = if (server.id in preferred) demand.sharedTokens else 0
        return (demand.promptTokens - cached).coerceAtLeast(0)
    }

    /** Requests that may be in progress at [server]; urgent ones may use the server's queue. */
    private fun slotLimit(server: ServerCandidate, demand: PlacementRequest): Int {
        val queue = if (demand.priority == 0) URGENT_QUEUE_SHARE else QUEUE_SHARE
        return (server.slots * (1 + queue)).toInt().coerceAtLeast(server.slots + 1)
    }

    private fun patience(priority: Int): Double = when (priority) {
        0 -> URGENT_PATIENCE
        1 -> NORMAL_PATIENCE
        else -> LOW_PATIENCE
    }

    /** Servers on which the cache of one key is looked for. */
    private const val COPIES = 1

    /** Delay that a full batch adds to the steps of a new request. */
    private const val SHARING_MILLIS = 30.0
    private const val REMOTE_MILLIS = 3.0

    /** Share of the target within which a server is chosen by what the request costs, not only by its delay. */
    private const val CALM_SHARE = 0.5

    /** Cost of reading a part again beyond the delay of this request: it delays the others at that server. */
    private const val REREAD_WEIGHT = 2.0

    /** Share of a server's slots that may wait in its own queue. */
    private const val QUEUE_SHARE = 0.1
    private const val URGENT_QUEUE_SHARE = 0.3

    /** Expected delay, as a share of the target, up to which a request is sent. Less urgent ones give way first. */
    private const val URGENT_PATIENCE = 2.0
    private const val NORMAL_PATIENCE = 1.5
    private const val LOW_PATIENCE = 1.0
    private const val FULL_WAIT_MILLIS = 300L
    private const val MIN_WAIT_MILLIS = 100L
}
