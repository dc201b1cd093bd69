package org.berylpoint.entry.gateway.server

import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.entry.gateway.site.KnownServer
import org.berylpoint.entry.gateway.site.SiteState
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.VersionName
import org.berylpoint.model.serving.Service
import org.berylpoint.model.serving.ServiceName
import org.berylpoint.peer.LoadPart
import org.berylpoint.policy.placement.AttemptSignal
import org.berylpoint.policy.placement.Candidate
import org.berylpoint.policy.placement.Choice
import org.berylpoint.policy.placement.ColdPace
import org.berylpoint.policy.placement.Demand
import org.berylpoint.policy.placement.ServerChoice
import org.berylpoint.policy.placement.ServerHealth
import kotlin.random.Random

/** A place at a server, to be given back by [ServerPool.release]. */
public class ServerReservation internal constructor(
    public val server: KnownServer,
    public val expectedMillis: Double,
    public val reservedAtMillis: Long,
    internal val tokens: Long,
) {
    internal var isPending = true
    internal var isReleased = false
}

/** What came of asking for a place. */
public sealed interface ReservationResult {
    public class Reserved(public val reservation: ServerReservation) : ReservationResult

    /** No server can start the request within its target; one may after [waitMillis]. */
    public class Full(public val waitMillis: Long) : ReservationResult

    public data object NoServer : ReservationResult
}

/** The share of a service's traffic that servers of a version get while it is rolled out. */
public fun interface VersionSelector {
    /** The version to use for one request out of [versions], or null when any will do. */
    public fun selectVersion(service: ServiceName, versions: Set<VersionName>): VersionName?
}

/** Chooses servers and keeps count of what runs where, as far as this instance knows. */
public class ServerPool(
    private val self: String,
    private val domain: FailureDomain,
    private val clocks: Clocks,
    private val site: SiteState,
    private val peers: PeerView,
    private val shares: VersionSelector,
    private val random: Random,
) {
    private class Load(val cold: ColdPace?) {
        var active = 0
        var pendingTokens = 0L
        val health = ServerHealth()
    }

    private class ServerKey(val id: BackendServerId, val startedAtMillis: Long)

    private val loads = HashMap<BackendServerId, Pair<ServerKey, Load>>()

    /** Asks for a place for a request of [service], at none of [excluded]. */
    @Synchronized
    public fun reserve(service: Service, demand: Demand, excluded: Set<BackendServerId>): ReservationResult {
        val now = clocks.steady
        val all = site.view.usable(service.name).filter { it.entry.id !in excluded }
        val versions = all.map { it.entry.version }.toSet()
        val version = if (versions.size > 1) shares.selectVersion(service.name, versions) else null
        val right = if (version == null) all else all.filter { it.entry.version == version }
        val rested = right.filterNot { loadOf(it, service).health.isResting(now) }.ifEmpty { right }
        val remote = remoteLoads()
        var open = rested
        while (true) {
            val candidates = open.map { candidate(it, service, remote) }.shuffled(random)
            when (val choice = ServerChoice.choose(demand, candidates)) {
                is Choice.NoServer ->
                    return if (right.isEmpty()) ReservationResult.NoServer else ReservationResult.Full(COLD_WAIT_MILLIS)
                is Choice.Full -> return ReservationResult.Full(choice.waitMillis)
                is Choice.Send -> {
                    val server = open.first { it.entry.id == choice.server }
                    if (mayTake(server, service, now)) {
                        return ReservationResult.Reserved(place(server, service, choice, now))
                    }
                    open = open - server
                }
            }
        }
    }

    /** Notes the first event of the answer. */
    @Synchronized
    public fun markStarted(place: ServerReservation) {
        val load = loads[place.server.entry.id]?.second ?: return
        if (!place.isPending) return
        place.isPending = false
        load.pendingTokens -= place.tokens
        load.health.addDelay((clocks.steady - place.reservedAtMillis).toDouble(), place.expectedMillis)
    }

    /** Gives [place] back, with what the attempt tells about the server. */
    @Synchronized
    public fun release(place: ServerReservation, signal: AttemptSignal?) {
        if (place.isReleased) return
        place.isReleased = true
        val load = loads[place.server.entry.id]?.second ?: return
        load.active--
        if (place.isPending) load.pendingTokens -= place.tokens
        place.isPending = false
        if (signal != null) load.health.add(signal, clocks.steady)
    }

    /** This instance's requests at each server, for its reports. */
    @Synchronized
    public fun loadParts(): List<LoadPart> = loads.filterValues { it.second.active > 0 }
        .map { (id, state) -> LoadPart(id.value, state.second.active, state.second.pendingTokens) }

    private fun mayTake(server: KnownServer, service: Service, now: Long): Boolean {
        if (!server.isCold(now)) return true
        val pace = loadOf(server, service).cold ?: return true
        // Without knowing the others, this instance would take the whole pace for itself, as they would.
        if (!peers.isComplete) return false
        return pace.tryTake(self, server.entry.id.value, peers.names(), now)
    }

    private fun place(server: KnownServer, service: Service, choice: Choice.Send, now: Long): ServerReservation {
        val load = loadOf(server, service)
        load.active++
        load.pendingTokens += choice.readTokens
        return ServerReservation(server, choice.expectedMillis, now, choice.readTokens)
    }

    private fun candidate(server: KnownServer, service: Service, remote: Map<String, LoadPart>): Candidate {
        val entry = server.entry
        val load = loadOf(server, service)
        val others = remote[entry.id.value]
        return Candidate(
            id = entry.id,
            isLocal = entry.domain == domain,
            active = load.active + (others?.active ?: 0),
            pendingTokens = load.pendingTokens + (others?.pendingTokens ?: 0),
            slots = service.engine?.batchSlots ?: entry.slots,
            tokensPerMilli = TOKENS_PER_MILLI,
            slowness = load.health.slowness,
        )
    }

    /** A server that started again under its id has nothing in progress. */
    private fun loadOf(server: KnownServer, service: Service): Load {
        val entry = server.entry
        val known = loads[entry.id]
        if (known != null && known.first.startedAtMillis == entry.startedAtMillis) return known.second
        val fresh = Load(ColdPace(service.coldRequestsPerSecond).takeIf { service.coldRequestsPerSecond > 0 })
        loads[entry.id] = ServerKey(entry.id, entry.startedAtMillis) to fresh
        loads.keys.retainAll(site.view.servers.keys + loads.filterValues { it.second.active > 0 }.keys)
        return fresh
    }

    private fun remoteLoads(): Map<String, LoadPart> {
        val sums = HashMap<String, LoadPart>()
        for (report in peers.live) {
            for (part in report.loads) {
                sums.merge(part.server, part) { a, b ->
                    LoadPart(a.server, a.active + b.active, a.pendingTokens + b.pendingTokens)
                }
            }
        }
        return sums
    }

    private companion object {
        /** Tokens that an engine reads in a millisecond until its answers tell better. */
        const val TOKENS_PER_MILLI = 80.0
        const val COLD_WAIT_MILLIS = 500L
    }
}
