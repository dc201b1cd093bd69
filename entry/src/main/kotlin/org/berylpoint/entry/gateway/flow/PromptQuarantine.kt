package org.berylpoint.entry.gateway.flow

import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.entry.gateway.site.ObservedServer
import org.berylpoint.peer.CrashPart
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.SuspectPart
import org.berylpoint.policy.Rendezvous
import org.berylpoint.policy.quarantine.CrashSuspects
import org.berylpoint.policy.quarantine.SuspectedCrash

/**
 * Refuses requests with a prompt part that crashes the servers which begin to answer it, by what all instances have
 * seen of lost connections and completed responses.
 *
 * A part is only suspected at the service whose servers it crashes.
 */
public class PromptQuarantine(
    private val self: String,
    private val clocks: Clocks,
    private val peers: PeerView,
    private val log: DecisionLog,
) {
    private val suspects = CrashSuspects()

    /** Parts that requests were refused for, so that the log names each of them once. */
    private val refused = HashSet<String>()

    /** Number of the parts in quarantine for which requests were refused here. */
    public val size: Int @Synchronized get() = refused.count { isQuarantined(it) }

    /** The part for which [request] is to be refused; null if it may be sent. */
    @Synchronized
    internal fun partOf(request: AdmittedRequest): String? {
        val now = clocks.steadyMillis
        val part = suspects.quarantined(keys(request), now) ?: return null
        if (isReleaseTrialHere(part) && suspects.tryRelease(part, now)) {
            log.event("quarantine", "one request with a prompt part in quarantine is sent", "part" to part)
            return null
        }
        if (refused.add(part)) {
            refused.removeAll { !isQuarantined(it) }
            logQuarantine(part)
        }
        return part
    }

    private fun isQuarantined(part: String) = suspects.quarantined(listOf(part), clocks.steadyMillis) != null

    private fun logQuarantine(part: String) = log.event(
        "quarantine",
        "a prompt part crashes servers; requests with it are refused",
        "part" to part,
        "crashes" to suspects.toReport(clocks.steadyMillis)[part].orEmpty().map { it.process },
    )

    /** Records that the connection to [server] was lost before the response to [request] began. */
    @Synchronized
    internal fun recordLoss(request: AdmittedRequest, server: ObservedServer) {
        suspects.recordLoss(keys(request), process(server), clocks.steadyMillis)
    }

    /** Records that [server] has responded. */
    @Synchronized
    internal fun recordResponse(server: ObservedServer) {
        suspects.recordResponse(process(server), clocks.steadyMillis)
    }

    /** Records that the response to [request] was completed. */
    @Synchronized
    internal fun recordCompletion(request: AdmittedRequest) {
        suspects.recordCompletion(keys(request), clocks.steadyMillis)
    }

    /** Returns [report] with the suspicions of this instance. */
    @Synchronized
    public fun addTo(report: NodeReport): NodeReport {
        val parts = suspects.toReport(clocks.steadyMillis).map { (part, crashes) ->
            SuspectPart(part, crashes.map { CrashPart(it.process, it.ageMillis, it.isRefuted) })
        }
        return report.copy(suspects = parts)
    }

    /** Merges the suspicions of another instance. */
    @Synchronized
    public fun mergeReport(report: NodeReport) {
        if (report.suspects.isEmpty()) return
        val crashes = report.suspects.associate { suspect ->
            suspect.part to suspect.crashes.map { SuspectedCrash(it.process, it.ageMillis, it.isRefuted) }
        }
        suspects.merge(crashes, clocks.steadyMillis)
    }

    /** Whether this instance is the only one that may try whether the part still crashes servers. */
    private fun isReleaseTrialHere(key: String) =
        Rendezvous.first(key, peers.liveReports.map { it.name } + self) { it } == self

    /** The shared parts of the prompt, each with the service whose servers it may crash. */
    private fun keys(request: AdmittedRequest) = request.sharedParts.map { "${request.service.name.value}/${it.id}" }

    private fun process(server: ObservedServer) = "${server.entry.id.value}@${server.entry.startedAtMillis}"
}
