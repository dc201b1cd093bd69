package org.berylpoint.entry.gateway.flow

import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.entry.settings.GatewayBounds
import org.berylpoint.model.Workspace
import org.berylpoint.model.serving.ServiceName
import org.berylpoint.model.serving.WorkspacePolicy
import org.berylpoint.peer.CrashTotalPart
import org.berylpoint.peer.DemandPart
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.WindowPart
import org.berylpoint.policy.duty.UsageWindows
import org.berylpoint.policy.quarantine.CrashTotal
import org.berylpoint.policy.quarantine.RequestCrashes
import org.berylpoint.policy.quota.CapShare
import org.berylpoint.policy.quota.UsageCap
import org.berylpoint.policy.retry.SharedRetryBudget

/**
 * Counters of this process that are evaluated together with those of the other instances: caps, retries, usage,
 * crashes and demand. The process sends them to the other instances in its reports.
 */
public class SharedCounts(private val clocks: Clocks, private val peers: PeerView, private val bounds: GatewayBounds) {
    private class DemandSum(var prefill: Long = 0, var output: Long = 0, var refused: Long = 0)

    private val caps = HashMap<Workspace, UsageCap>()

    /** Workspaces whose cap was already charged with what the earlier process of this instance may have used. */
    private val chargedForPredecessor = HashSet<Workspace>()

    /** Workspaces whose window total this new process has adopted from the report of an older one. */
    private val windowTotalAdopted = HashSet<Workspace>()
    private val admitted = HashMap<String, Double>()

    /** Start time of the process that sent the newest report, by instance. */
    private val processStarts = HashMap<String, Long>()
    private val retries = HashMap<ServiceName, SharedRetryBudget>()
    private val usage = UsageWindows(bounds.usageWindowMillis)
    private val crashes = RequestCrashes()
    private val demands = HashMap<ServiceName, DemandSum>()

    /** Charges [cost] to [policy]'s cap; null if it was charged, else the milliseconds until the cap has room. */
    @Synchronized
    public fun tryCharge(policy: WorkspacePolicy, cost: Double): Long? {
        val cap = caps.getOrPut(policy.workspace) { UsageCap(bounds.capTolerance) }
        if (isNewProcess() && chargedForPredecessor.add(policy.workspace) && policy.workspace !in windowTotalAdopted) {
            cap.assumePreviousProcessUsage(
                policy.ratePerSecond,
                policy.burst,
                peers.instanceNames().size,
                clocks.steadyMillis,
            )
        }
        val share = capShare()
        if (!cap.tryAdmit(cost, policy.ratePerSecond, policy.burst, share, clocks.steadyMillis)) {
            return cap.waitMillis(policy.ratePerSecond, policy.burst, share, clocks.steadyMillis)
        }
        admitted.merge(policy.workspace.name, cost, Double::plus)
        return null
    }

    private fun capShare(): CapShare {
        val reportAges = peers.freshReportAgesMillis()
        return CapShare(reportAges, (reportAges.size + 1.0) / (peers.peerCount + 1.0))
    }

    /** Charges a further run of a request that was charged before: each run counts in the cap's window. */
    @Synchronized
    public fun chargeRerun(policy: WorkspacePolicy, cost: Double) {
        caps[policy.workspace]?.recordRerun(cost, clocks.steadyMillis)
        admitted.merge(policy.workspace.name, cost, Double::plus)
    }

    /** Refunds what [tryCharge] charged for a request that did not run. */
    @Synchronized
    public fun refund(policy: WorkspacePolicy, cost: Double) {
        caps[policy.workspace]?.refund(cost, clocks.steadyMillis)
        admitted.merge(policy.workspace.name, -cost, Double::plus)
    }

    /**
     * Adds what another instance admitted since its last report to the caps, and takes over the crashes that it knows.
     * The first report of a process counts as admitted earlier in the window, since it doesn't show the present rate of
     * the process.
     */
    @Synchronized
    public fun mergeReport(report: NodeReport) {
        val totals = report.crashTotals.associate { it.fingerprint to CrashTotal(it.count, it.ageMillis) }
        crashes.merge(totals, clocks.steadyMillis)
        val isFirstReport = processStarts.put(report.name, report.startedAtMillis) != report.startedAtMillis
        for ((name, cost) in report.admitted.filterValues { it != 0.0 }) {
            val cap = caps.getOrPut(Workspace(name)) { UsageCap(bounds.capTolerance) }
            if (isFirstReport) {
                cap.recordRemoteHistory(report.name, cost, clocks.steadyMillis)
            } else {
                cap.recordRemote(report.name, cost, clocks.steadyMillis)
            }
        }
        if (isNewProcess()) adoptWindowTotals(report.windowTotals)
    }

    private fun adoptWindowTotals(totals: Map<String, Double>) {
        for ((name, total) in totals) {
            if (!windowTotalAdopted.add(Workspace(name))) continue
            caps.getOrPut(Workspace(name)) { UsageCap(bounds.capTolerance) }
                .adoptWindowTotal(total, clocks.steadyMillis)
        }
    }

    /** Whether this process is younger than a cap window, so that it doesn't know all that was admitted in it. */
    private fun isNewProcess() = clocks.steadyMillis < bounds.capTolerance.windowMillis

    /**
     * Counts the first attempt of a request to [service] for the retry budget, and its tokens as demand: of the prompt
     * the [prefillTokens], which no other request shares.
     */
    @Synchronized
    public fun countFirstAttempt(service: ServiceName, prefillTokens: Long, outputTokens: Long) {
        retriesOf(service).recordFirstAttempt(clocks.steadyMillis)
        val sum = demands.getOrPut(service) { DemandSum() }
        sum.prefill += prefillTokens
        sum.output += outputTokens
    }

    /** Counts shared prompt tokens that a server of [service] has to prefill, since its cache lacks them. */
    @Synchronized
    public fun countSharedPrefill(service: ServiceName, tokens: Long) {
        demands.getOrPut(service) { DemandSum() }.prefill += tokens
    }

    /** Counts a request to [service] that was refused for lack of servers. */
    @Synchronized
    public fun countNoCapacity(service: ServiceName) {
        demands.getOrPut(service) { DemandSum() }.refused++
    }

    /**
     * Takes one retry out of the budget of [service]; false when it is used up. Silent instances keep their part, since
     * those that are only cut off use it.
     */
    @Synchronized
    public fun tryRetry(service: ServiceName): Boolean =
        retriesOf(service).tryRetry(clocks.steadyMillis, peers.peerCount + 1)

    /** Counts a request of [workspace] that started to run now in its usage. */
    @Synchronized
    public fun countUsage(workspace: Workspace) {
        usage.add(workspace, clocks.steadyMillis + peers.wallClockOffsetMillis())
    }

    /** Counts a connection to a server that was lost during the request with [fingerprint]. */
    @Synchronized
    public fun countCrash(fingerprint: String): Unit =
        crashes.recordCrash(fingerprint, crashesSeenByOthers(fingerprint), clocks.steadyMillis)

    /** Records that a server completed a request with [fingerprint]. */
    @Synchronized
    public fun countCompleted(fingerprint: String): Unit = crashes.recordCompletion(fingerprint)

    /**
     * Number of server connections lost during requests with [fingerprint], over all instances and their restarts; 0 if
     * a server completed such a request here.
     */
    @Synchronized
    public fun crashCount(fingerprint: String): Int =
        crashes.count(fingerprint, crashesSeenByOthers(fingerprint), clocks.steadyMillis)

    private fun crashesSeenByOthers(fingerprint: String) = peers.liveReports.sumOf { it.crashes[fingerprint] ?: 0 }

    /** Returns [report] with the counters of this process. */
    @Synchronized
    public fun addTo(report: NodeReport): NodeReport = report.copy(
        admitted = admitted.toMap(),
        usage = usage.snapshot().map { (window, counts) -> WindowPart(window, counts.mapKeys { it.key.name }) },
        crashes = crashes.ownCounts,
        crashTotals = crashes.toReport(clocks.steadyMillis).map { (fingerprint, total) ->
            CrashTotalPart(fingerprint, total.count, total.ageMillis)
        },
        demands = demands.map { (service, sum) -> DemandPart(service.value, sum.prefill, sum.output, sum.refused) },
        windowTotals = windowTotals(),
    )

    /**
     * Totals of the caps' windows, by workspace. Only new processes of other instances need them, and only a process
     * that has run for a whole window knows them; otherwise they are left out of the report.
     */
    private fun windowTotals(): Map<String, Double> {
        if (isNewProcess() || !peers.hasProcessYoungerThan(bounds.capTolerance.windowMillis)) return emptyMap()
        return caps.entries.associate { (workspace, cap) -> workspace.name to cap.windowTotal(clocks.steadyMillis) }
    }

    private fun retriesOf(service: ServiceName) = retries.getOrPut(service) {
        SharedRetryBudget(bounds.retryRatio, bounds.retrySlack, bounds.retryWindowMillis)
    }
}
