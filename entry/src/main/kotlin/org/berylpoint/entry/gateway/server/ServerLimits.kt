package org.berylpoint.entry.gateway.server

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.model.serving.RegisteredServer
import org.berylpoint.peer.LimitPart
import org.berylpoint.peer.NodeReport
import org.berylpoint.policy.placement.SharedRate
import org.berylpoint.policy.placement.SharedRateLimiter

/**
 * The rates of requests that servers have named in their responses, for all instances together.
 *
 * A limit holds for one process of a server, until a response to a later request names none. Only the few instances
 * that share the rate hear such responses; the others learn from their reports that a limit began, changed or ended.
 */
public class ServerLimits(
    private val self: String,
    private val clocks: Clocks,
    private val peers: PeerView,
    private val log: DecisionLog,
) {
    /** What was last heard of one process of a server; [perSecond] is null if it names no limit any more. */
    private class Heard(val perSecond: Double?, val atMillis: Long, val isOwn: Boolean, val limiter: SharedRateLimiter)

    @Volatile
    private var processes: PersistentMap<ServerProcess, Heard> = persistentMapOf()

    /** Number of servers that name a limit. */
    public val size: Int get() = processes.values.count { it.perSecond != null }

    /** Records the limit that a response of [server] names, null for none, to a request sent at [sentAtMillis]. */
    public fun record(server: RegisteredServer, perSecond: Double?, sentAtMillis: Long) {
        if (perSecond == null && processes.isEmpty()) return
        recordResponse(ServerProcess.of(server), perSecond, sentAtMillis)
    }

    @Synchronized
    private fun recordResponse(process: ServerProcess, perSecond: Double?, sentAtMillis: Long) {
        val known = processes[process]
        if (perSecond == null) {
            // The response to a request from before the limit may have been made before it, too.
            if (known?.perSecond == null || sentAtMillis < known.atMillis) return
        }
        hear(process, perSecond, clocks.steadyMillis, isOwn = true)
    }

    /** Records what the sender of [report] has heard, where it is newer than what is known here. */
    @Synchronized
    public fun mergeReport(report: NodeReport) {
        for (part in report.limits) {
            val process = ServerProcess(part.server, part.startedAtMillis)
            val heardAtMillis = clocks.steadyMillis - part.ageMillis
            if (heardAtMillis <= (processes[process]?.atMillis ?: Long.MIN_VALUE)) continue
            hear(process, part.perSecond, heardAtMillis, isOwn = false)
        }
    }

    private fun hear(process: ServerProcess, perSecond: Double?, atMillis: Long, isOwn: Boolean) {
        val known = processes[process]
        if (known?.perSecond != perSecond) logChange(process, perSecond, isOwn)
        val limiter = known?.limiter ?: SharedRateLimiter(WINDOW_MILLIS, MIN_PER_SENDER)
        val others = if (processes.size < MAX_PROCESSES) processes else processes.remove(oldest())
        processes = others.put(process, Heard(perSecond, atMillis, isOwn, limiter))
    }

    private fun logChange(process: ServerProcess, perSecond: Double?, isOwn: Boolean) = log.event(
        "server",
        if (perSecond == null) "a server names no limit any more" else "a server names a limit",
        "server" to process.id,
        "perSecond" to perSecond,
        "own" to isOwn,
    )

    private fun oldest() = processes.minBy { it.value.atMillis }.key

    /** Milliseconds until this instance may send a request to [server] by its limit; 0 if it may now. */
    public fun waitMillis(server: RegisteredServer): Long {
        if (processes.isEmpty()) return 0
        val process = ServerProcess.of(server)
        return limited(process) { limiter, rate ->
            // Alone, it would use the whole limit, as would each instance that starts at the same time.
            if (peers.isPeerListLoaded) limiter.waitMillis(rate, clocks.steadyMillis) else UNKNOWN_PEERS_WAIT_MILLIS
        } ?: 0
    }

    /** Takes one request to [server] out of its limit; false if it has no room here now. */
    public fun tryAcquire(server: RegisteredServer): Boolean {
        if (processes.isEmpty()) return true
        val process = ServerProcess.of(server)
        return limited(process) { limiter, rate ->
            peers.isPeerListLoaded && limiter.tryAcquire(rate, clocks.steadyMillis)
        } ?: true
    }

    private fun <T> limited(process: ServerProcess, action: (SharedRateLimiter, SharedRate) -> T): T? {
        if (processes[process]?.perSecond == null) return null
        val instances = peers.instanceNames()
        synchronized(this) {
            val heard = processes[process] ?: return null
            val perSecond = heard.perSecond ?: return null
            return action(heard.limiter, SharedRate(perSecond, keyOf(process, heard), self, instances))
        }
    }

    /**
     * Selects the instances that send. Others take their place where nothing was heard for long: those may have no
     * requests for the server, or be gone, and its limit may have ended.
     */
    private fun keyOf(process: ServerProcess, heard: Heard): String =
        "${process.id}/${(clocks.steadyMillis - heard.atMillis) / UNHEARD_MILLIS}"

    /** Returns [report] with what this instance has heard itself lately. */
    @Synchronized
    public fun addTo(report: NodeReport): NodeReport {
        if (processes.isEmpty()) return report
        val now = clocks.steadyMillis
        val heard = processes.filterValues { it.isOwn && now - it.atMillis <= REPORTED_MILLIS }
        return report.copy(
            limits = heard.map { (process, it) ->
                LimitPart(process.id, process.startedAtMillis, it.perSecond, now - it.atMillis)
            },
        )
    }

    private companion object {
        /** Long enough for a rate below one a second, and to divide a small rate among several instances. */
        const val WINDOW_MILLIS = 4_000L

        /** As many senders as possible, since each of them has few requests for the one server. */
        const val MIN_PER_SENDER = 1

        /** Long enough to hear of a server that takes one request in a window, also if a report is lost. */
        const val REPORTED_MILLIS = 6_000L
        const val UNHEARD_MILLIS = 12_000L

        /** Time in which an instance that starts reads the list of the others. */
        const val UNKNOWN_PEERS_WAIT_MILLIS = 500L

        /** Servers that were heard of longest ago are forgotten first. */
        const val MAX_PROCESSES = 1_000
    }
}
