package org.berylpoint.entry.gateway.server

import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.entry.gateway.site.ObservedServer
import org.berylpoint.entry.gateway.site.SiteState
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.serving.Service
import org.berylpoint.model.serving.ServiceName
import org.berylpoint.peer.LoadPart
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.ServerLoads
import org.berylpoint.policy.performance.ModelledServer
import org.berylpoint.policy.performance.StreamGaps
import org.berylpoint.policy.placement.AttemptSignal
import org.berylpoint.policy.placement.PlacementRequest
import org.berylpoint.policy.placement.ServerCandidate
import org.berylpoint.policy.placement.ServerSelection
import org.berylpoint.policy.placement.ServerSelector
import org.berylpoint.policy.placement.SharedRate
import kotlin.random.Random

/**
 * Reserved capacity at a server for one attempt, until [ServerPool.release]. [expectedMillis] is the estimated delay to
 * the first event; [reservedAtMillis] is on the steady clock.
 */
public class ServerReservation internal constructor(
    public val server: ObservedServer,
    public val expectedMillis: Double,
    public val reservedAtMillis: Long,
    /** Prompt tokens that the server has to read for the attempt. */
    internal val prefillTokens: Long,
    internal val modelled: ModelledServer,
    internal val load: ServerLoad,
) {
    /** Requests and prompt tokens that were known to be at the server before. */
    internal val activeBefore = load.knownActive
    internal val pendingTokensBefore = load.knownPendingTokens
    internal val gaps = StreamGaps()

    /** Whether no event of the response has arrived yet. */
    internal var isPending = true
    internal var isReleased = false
}

/** Result of [ServerPool.reserve]. */
public sealed interface ReservationResult {
    public class Reserved(public val reservation: ServerReservation) : ReservationResult

    /**
     * No server can start the request within its target latency now; one may after [waitMillis]. If [isBusy], that is
     * because of the requests that run there, one of which may end at any time; else the servers name the wait.
     */
    public class Full(public val waitMillis: Long, public val isBusy: Boolean) : ReservationResult

    public data object NoServer : ReservationResult
}

/**
 * Selects a server for each attempt, and counts the requests in progress at each server: those of this instance, and
 * those that the other instances report.
 */
public class ServerPool(
    private val self: String,
    private val domain: FailureDomain,
    private val clocks: Clocks,
    private val site: SiteState,
    private val peers: PeerView,
    private val versionSelector: VersionSelector,
    private val notices: ServerNotices,
    private val limits: ServerLimits,
    private val random: Random,
    private val speeds: ServerSpeeds,
) {
    private class ServerKey(val id: BackendServerId, val startedAtMillis: Long)

    private val loads = HashMap<BackendServerId, Pair<ServerKey, ServerLoad>>()

    /** The reports from which [remoteSums] was computed. */
    private var summedReports: List<NodeReport>? = null
    private var remoteSums = ServerLoads.NONE

    /** Called without a lock when a server of the service may have got room for a further request. */
    @Volatile
    internal var onRoom: (ServiceName) -> Unit = {}

    /**
     * Reserves capacity for a request to [service] at a server that is not in [excluded], and in [room] unless that is
     * null: the servers whose free slots are for this instance.
     */
    public fun reserve(
        service: Service,
        demand: PlacementRequest,
        excluded: Set<BackendServerId>,
        room: Set<BackendServerId>? = null,
    ): ReservationResult {
        val usable = site.view.usableServers(service.name)
        val eligible = usable.filter { it.entry.id !in excluded && !notices.isLeaving(it.entry) }
        // Selected before the lock is taken: the selector may take locks of its own.
        val choice = versionSelector.selectVersions(service.name, usable.mapTo(HashSet()) { it.entry.version })
        val result = if (choice == null) {
            reserveAmong(eligible, service, demand, room)
        } else {
            reserveOf(choice, eligible, service, demand, room)
        }
        if (result is ReservationResult.Reserved) {
            versionSelector.recordRequest(service.name, result.reservation.server.entry.version)
        }
        return result
    }

    private fun reserveOf(
        choice: VersionChoice,
        eligible: List<ObservedServer>,
        service: Service,
        demand: PlacementRequest,
        room: Set<BackendServerId>?,
    ): ReservationResult {
        val preferred = eligible.filter { it.entry.version in choice.preferred }
        val result = reserveAmong(preferred, service, demand, room)
        if (result is ReservationResult.Reserved || choice.otherwise.isEmpty()) return result
        return reserveAmong(eligible.filter { it.entry.version in choice.otherwise }, service, demand, room)
    }

    /** Whether the server of [reservation] is still the same process and takes requests. */
    public fun isUsable(reservation: ServerReservation): Boolean {
        val entry = reservation.server.entry
        if (versionSelector.isBarred(entry.service, entry.version)) return false
        return site.view.isUsable(entry) && !notices.isLeaving(entry) && notices.waitMillis(entry) == 0L
    }

    @Synchronized
    private fun reserveAmong(
        eligible: List<ObservedServer>,
        service: Service,
        demand: PlacementRequest,
        room: Set<BackendServerId>?,
    ): ReservationResult {
        val now = clocks.steadyMillis
        val taking = eligible.filter { waitMillis(it) == 0L }
        val accepting = if (room == null) taking else taking.filter { it.entry.id in room }
        if (accepting.isEmpty() && eligible.isNotEmpty()) return fullWithout(taking, eligible)
        val available = accepting.filterNot { loadOf(it).health.isEjected(now) }.ifEmpty { accepting }
        val remote = remoteLoads()
        var untried = available
        while (true) {
            val candidates = untried.map { candidate(it, service, remote) }.shuffled(random)
            when (val choice = ServerSelector.choose(demand, candidates, random, peers.peerCount + 1)) {
                is ServerSelection.NoCandidate -> {
                    if (eligible.isEmpty()) return ReservationResult.NoServer
                    return full(COLD_WAIT_MILLIS, isBusy = false)
                }
                is ServerSelection.Saturated -> return full(choice.waitMillis, isBusy = true)
                is ServerSelection.Selected -> {
                    val server = untried.first { it.entry.id == choice.server }
                    if (mayUse(server, service, now)) {
                        return ReservationResult.Reserved(newReservation(server, service, demand, choice, now))
                    }
                    untried = untried - server
                }
            }
        }
    }

    private fun fullWithout(taking: List<ObservedServer>, eligible: List<ObservedServer>) = if (taking.isEmpty()) {
        full(
            eligible.minOf(::waitMillis),
            isBusy = false,
        )
    } else {
        full(NO_ROOM_WAIT_MILLIS, isBusy = true)
    }

    private fun full(waitMillis: Long, isBusy: Boolean) = ReservationResult.Full(waitMillis, isBusy)

    /** Records that the first event of the response arrived, and how long that took. */
    public fun markStarted(reservation: ServerReservation) {
        recordStart(reservation)
        onRoom(reservation.server.entry.service)
    }

    @Synchronized
    private fun recordStart(reservation: ServerReservation) {
        val load = loads[reservation.server.entry.id]?.second ?: return
        if (!reservation.isPending) return
        reservation.isPending = false
        load.pendingTokens -= reservation.prefillTokens
        speeds.recordFirstEvent(reservation)
    }

    /** Records that an event of the response for [reservation] arrived. */
    public fun recordEvent(reservation: ServerReservation) {
        val gapMillis = reservation.gaps.add(clocks.steadyMillis.toDouble()) ?: return
        speeds.recordGap(reservation.modelled, gapMillis, reservation.load.knownActive)
    }

    /** Ends [reservation]. [signal] is what the attempt shows of the server's health; null if nothing. */
    public fun release(reservation: ServerReservation, signal: AttemptSignal?) {
        recordEnd(reservation, signal)
        onRoom(reservation.server.entry.service)
    }

    @Synchronized
    private fun recordEnd(reservation: ServerReservation, signal: AttemptSignal?) {
        if (reservation.isReleased) return
        reservation.isReleased = true
        val load = loads[reservation.server.entry.id]?.second ?: return
        load.active--
        if (reservation.isPending) load.pendingTokens -= reservation.prefillTokens
        reservation.isPending = false
        if (signal != null) load.health.recordOutcome(signal, clocks.steadyMillis)
        if (signal == AttemptSignal.GOOD) speeds.recordCompletion(reservation)
    }

    /** Numbers of requests of this instance in progress, by server. */
    internal fun ownLoads(): Map<BackendServerId, Int> = loadParts().associate {
        BackendServerId(it.server) to it.active
    }

    /** Requests of this instance in progress at each server, for its peer reports. */
    @Synchronized
    public fun loadParts(): List<LoadPart> = loads.filterValues { it.second.active > 0 }
        .map { (id, state) -> LoadPart(id.value, state.second.active, state.second.pendingTokens) }

    /** Time for which [server] wants no requests from this instance, by what it has said itself. */
    private fun waitMillis(server: ObservedServer): Long =
        maxOf(notices.waitMillis(server.entry), limits.waitMillis(server.entry))

    /** Takes a request to [server] out of the limits that hold for it; false if one has no room. */
    private fun mayUse(server: ObservedServer, service: Service, now: Long): Boolean =
        mayUseCold(server, service, now) && limits.tryAcquire(server.entry)

    private fun mayUseCold(server: ObservedServer, service: Service, now: Long): Boolean {
        if (!server.isCold(now) || service.coldRequestsPerSecond <= 0) return true
        // An instance that doesn't know all others yet would use the cold server's whole rate, as would each of them.
        if (!peers.isPeerListLoaded) return false
        val rate = SharedRate(service.coldRequestsPerSecond, server.entry.id.value, self, peers.instanceNames())
        return loadOf(server).coldLimiter.tryAcquire(rate, now)
    }

    private fun newReservation(
        server: ObservedServer,
        service: Service,
        demand: PlacementRequest,
        choice: ServerSelection.Selected,
        now: Long,
    ): ServerReservation {
        val load = loadOf(server)
        load.active++
        load.pendingTokens += choice.prefillTokens
        val modelled = modelled(load, server, service)
        speeds.recordRequest(modelled, choice.prefillTokens, demand.targetMillis)
        return ServerReservation(server, choice.expectedMillis, now, choice.prefillTokens, modelled, load)
    }

    private fun modelled(load: ServerLoad, server: ObservedServer, service: Service): ModelledServer =
        load.modelled?.takeIf { it.slots == slotsOf(server, service) }
            ?: ModelledServer.of(server.entry, service).also { load.modelled = it }

    private fun slotsOf(server: ObservedServer, service: Service): Int =
        service.engine?.batchSlots ?: server.entry.slots

    private fun candidate(server: ObservedServer, service: Service, remote: ServerLoads): ServerCandidate {
        val entry = server.entry
        val load = loadOf(server)
        val others = remote[entry.id.value]
        load.knownActive = load.active + others.active
        load.knownPendingTokens = load.pendingTokens + others.pendingTokens
        return ServerCandidate(
            id = entry.id,
            isLocal = entry.domain == domain,
            active = load.knownActive,
            pendingTokens = load.knownPendingTokens,
            slots = slotsOf(server, service),
            expectation = speeds.expectation(modelled(load, server, service), load.knownActive),
        )
    }

    /** Load of [server]; starts at zero again when the server has restarted under the same id. */
    private fun loadOf(server: ObservedServer): ServerLoad {
        val entry = server.entry
        val known = loads[entry.id]
        if (known != null && known.first.startedAtMillis == entry.startedAtMillis) return known.second
        val load = ServerLoad()
        loads[entry.id] = ServerKey(entry.id, entry.startedAtMillis) to load
        loads.keys.retainAll(site.view.servers.keys + loads.filterValues { it.second.active > 0 }.keys)
        return load
    }

    /** Load of the other instances by server, summed again only when a report has arrived since. */
    private fun remoteLoads(): ServerLoads {
        val reports = peers.liveReports
        if (reports !== summedReports) {
            summedReports = reports
            remoteSums = ServerLoads.sum(reports.map { it.serverLoads })
        }
        return remoteSums
    }

    private companion object {
        /** Wait of a caller when other instances are to use the room that there is. */
        const val NO_ROOM_WAIT_MILLIS = 300L

        /** Wait before the next try when cold servers accept no more requests. */
        const val COLD_WAIT_MILLIS = 500L
    }
}
