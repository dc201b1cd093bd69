package org.berylpoint.entry.gateway.duty

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.put
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.entry.gateway.server.VersionChoice
import org.berylpoint.entry.gateway.server.VersionSelector
import org.berylpoint.entry.gateway.site.SiteState
import org.berylpoint.model.VersionName
import org.berylpoint.model.serving.RolloutOrder
import org.berylpoint.model.serving.RolloutState
import org.berylpoint.model.serving.ServiceName
import org.berylpoint.peer.NodeReport
import org.berylpoint.platform.cloud.DutyHolder
import org.berylpoint.platform.store.StoreClient
import org.berylpoint.policy.rollout.ComparedVersions
import org.berylpoint.policy.rollout.ExposureAccount
import org.berylpoint.policy.rollout.ExposureBounds
import org.berylpoint.policy.rollout.VersionComparison
import org.berylpoint.policy.rollout.VersionVerdict
import kotlin.math.abs
import kotlin.random.Random

/**
 * Splits traffic between the versions of a service that is being rolled out.
 *
 * The holder of the duties decides for all: it plans the share of the new version, tells it in its reports, and writes
 * the end of the rollout to the store. The others follow its plan; without one they go on with the share that they
 * have. Any instance that finds the version worse sends it nothing more, and says so in its reports.
 */
public class RolloutDuty(
    store: StoreClient,
    private val site: SiteState,
    private val peers: PeerView,
    private val clocks: Clocks,
    private val log: DecisionLog,
    private val random: Random,
    private val ownOutcomes: () -> NodeReport,
    private val bounds: ExposureBounds = ExposureBounds.DEFAULT,
) : VersionSelector {
    private val decisions = RolloutDecisions(store, site, clocks, log)
    private val barred = BarredVersions(site, log)
    private val planner = RolloutPlanner(peers, clocks, log)

    /**
     * Replaced as a whole by the one task that calls [updateShares]. Requests read it without a lock: the report that
     * the task collects meanwhile takes the locks of the request path.
     */
    @Volatile
    private var rollouts: PersistentMap<ServiceName, TrackedRollout> = persistentMapOf()

    /** When this instance may read the states of rollouts again that it doesn't decide on. */
    private var nextStatusReadMillis = 0L

    /** Whether a rollout is ordered whose end is not known. */
    public val isRunning: Boolean
        get() = site.view.rollouts.keys.any { rollouts[it]?.decision.let { end -> end == null || !isEnd(end) } }

    override fun selectVersions(service: ServiceName, versions: Set<VersionName>): VersionChoice? {
        val allowed = (versions - barred.of(service)).ifEmpty { versions }
        val order = site.view.rollouts[service]
            ?: return VersionChoice(allowed).takeIf { allowed.size < versions.size }
        val rollout = rollouts[service]?.takeIf { it.order == order }
        val new = versions.filterTo(HashSet()) { it == order.to }
        val old = allowed - new
        if (old.isEmpty()) return VersionChoice(if (rollout?.isBarred == true) emptySet() else new)
        if (rollout == null || new.isEmpty() || !rollout.takesNew(random)) return VersionChoice(old)
        val now = clocks.steadyMillis
        if (!rollout.hasRoom(now)) return VersionChoice(old)
        return VersionChoice(new, if (rollout.mayFallBack(now)) old else emptySet())
    }

    override fun isBarred(service: ServiceName, version: VersionName): Boolean {
        val rollout = rollouts[service]
        return version in barred.of(service) || (rollout?.order?.to == version && rollout.isBarred)
    }

    override fun recordRequest(service: ServiceName, version: VersionName) {
        val rollout = rollouts[service] ?: return
        rollout.sent.incrementAndGet()
        if (version == rollout.order.to) rollout.sentToNew.incrementAndGet()
    }

    /** Adds to [report] what this instance knows of the rollouts. */
    public fun addTo(report: NodeReport): NodeReport = report.copy(
        rollouts = rollouts.values.map { rollout ->
            val others = barred.of(rollout.order.service).map { it.value }
            rollout.toPart(clocks.steadyMillis).copy(barred = others)
        },
    )

    /** What the state dump tells of the rollouts. */
    internal fun toJson(): JsonArray = buildJsonArray {
        for (rollout in rollouts.values) {
            addJsonObject {
                put("service", rollout.order.service.value)
                put("to", rollout.order.to.value)
                put("order", rollout.id.revision)
                put("orderEra", rollout.id.era)
                put("state", rollout.decision.name)
                put("share", rollout.currentShare)
                put("isRejected", rollout.isRejected)
                put("sent", rollout.sent.get())
                put("sentToNew", rollout.sentToNew.get())
            }
        }
    }

    /** Updates the share of each version that is rolled out. Called by one task only. */
    public fun updateShares() {
        val orders = site.view.rollouts
        rollouts.values.filter { orders[it.order.service] != it.order && !it.isCompleted }
            .forEach { barred.add(it.order.service, setOf(it.order.to)) }
        barred.update()
        rollouts = rollouts.filter { (service, rollout) -> orders[service] == rollout.order }.toPersistentMap()
        val others = orders.values.filter { it.service !in rollouts }
        if (others.isEmpty() && rollouts.values.all { isEnd(it.decision) }) return
        val reports = peers.allReports(ownOutcomes())
        for (order in others) rollouts = rollouts.put(order.service, startTracking(order, reports))
        for (rollout in rollouts.values) {
            if (isEnd(rollout.decision)) continue
            followReports(rollout)
            judge(rollout, reports)
            updateAccount(rollout, reports)
            updateShare(rollout)
        }
    }

    private fun startTracking(order: RolloutOrder, reports: List<NodeReport>): TrackedRollout {
        val seenAt = site.view.rolloutRows[order.service]?.observedAtMillis ?: clocks.steadyMillis
        return TrackedRollout(order, seenAt, clocks.steadyMillis, comparedVersions(reports, order), bounds)
    }

    /** Takes over what peers know of the end of [rollout]. */
    private fun followReports(rollout: TrackedRollout) {
        for (report in peers.liveReports) {
            val part = report.rollouts.firstOrNull { rollout.isNamedBy(it) } ?: continue
            barred.add(rollout.order.service, part.barred.map(::VersionName).toSet())
            if (part.isCompleted) adopt(rollout, RolloutState.COMPLETED, report.name)
            if (part.isRolledBack) adopt(rollout, RolloutState.ROLLED_BACK, report.name)
            if (part.isRejected) reject(rollout, report.name)
        }
    }

    private fun adopt(rollout: TrackedRollout, state: RolloutState, source: String) {
        if (isEnd(rollout.decision)) return
        rollout.decision = state
        rollout.ownPlan = null
        logChange(rollout, "a rollout has ended", "state" to state.name, "source" to source)
    }

    private fun reject(rollout: TrackedRollout, source: String) {
        if (rollout.isRejected) return
        rollout.isRejected = true
        logChange(rollout, "a version is rejected", "source" to source)
    }

    private fun judge(rollout: TrackedRollout, reports: List<NodeReport>) {
        val now = clocks.steadyMillis
        rollout.evidence.record(now, comparedVersions(reports, rollout.order))
        val whole = rollout.evidence.whole
        val verdict = VersionComparison.verdict(whole, rollout.evidence.recent(now))
        if (verdict != rollout.verdict) logEvidence(rollout, verdict, whole)
        rollout.verdict = verdict
        rollout.outcomes = whole.new.outcomes.total
        if (verdict == VersionVerdict.WORSE) reject(rollout, "outcomes")
    }

    /** Counts the requests of all instances. Builds that don't tell theirs are known by their outcomes. */
    private fun updateAccount(rollout: TrackedRollout, reports: List<NodeReport>) {
        val parts = reports.flatMap { it.rollouts }.filter { rollout.isNamedBy(it) }
        val own = rollout.sent.get()
        val seen = rollout.evidence.whole
        val sent = maxOf(own + parts.sumOf { it.sent }, seen.new.outcomes.total + seen.old.outcomes.total)
        val sentToNew = maxOf(rollout.sentToNew.get() + parts.sumOf { it.sentToNew }, seen.new.outcomes.total)
        rollout.account = ExposureAccount(sent, sentToNew, bounds)
        rollout.exposure.update(own, sent, peers.peerCount + 1)
        rollout.rate.record(clocks.steadyMillis, sent)
        rollout.requestsPerSecond = rollout.rate.perSecond
    }

    /** The share of this instance's requests: the plan's, or the one before if the holder is not heard. */
    private fun updateShare(rollout: TrackedRollout) {
        if (isEnd(rollout.decision)) return
        val now = clocks.steadyMillis
        val planned = rollout.ownPlan ?: planHeard(rollout) ?: return
        val share = planned.shareAt(now)
        rollout.share = share
        if (abs(share - rollout.loggedShare) < MIN_LOGGED_CHANGE) return
        rollout.loggedShare = share
        logChange(rollout, "a version's share changes", "share" to share)
    }

    /** The plan that the holder of the duties tells in its reports; null if it has not been heard lately. */
    private fun planHeard(rollout: TrackedRollout): RolloutPlan? {
        val holder = peers.recentReports().filter { it.dutyToken > 0 }.maxByOrNull { it.dutyToken } ?: return null
        val part = holder.rollouts.firstOrNull { rollout.isNamedBy(it) }?.plan ?: return null
        val known = rollout.heardPlan
        if (known != null && known.holder == holder.name && known.sequence == holder.sequence) return known.plan
        val now = clocks.steadyMillis
        val plan = RolloutPlan(
            share = part.sharePerMille.toDouble() / TrackedRollout.PER_MILLE,
            handoverAtMillis = part.handoverInMillis?.plus(now),
            endsAtMillis = now + part.remainingMillis,
        )
        rollout.heardPlan = HeardPlan(holder.name, holder.sequence, plan, now)
        return plan
    }

    /** Decides on all rollouts if this instance is the [holder] of the duties. Called by one task only. */
    public suspend fun decide(holder: DutyHolder?) {
        val tracked = rollouts.values
        if (holder == null) return follow(tracked)
        for (rollout in tracked) lead(rollout, holder.instance)
    }

    /** Reads from the store how the rollouts stand of which no plan is heard, as in a process that has just started. */
    private suspend fun follow(tracked: Collection<TrackedRollout>) {
        tracked.forEach { it.ownPlan = null }
        val now = clocks.steadyMillis
        if (now < nextStatusReadMillis || tracked.none { isUninformed(it, now) }) return
        // Instances that lose the holder at the same moment must not all read at once, again and again.
        val interval = maxOf(MIN_READ_INTERVAL_MILLIS, READ_INTERVAL_PER_PEER_MILLIS * peers.peerCount)
        nextStatusReadMillis = now + interval + random.nextLong(interval)
        if (decisions.read()) tracked.filter { it.decision == RolloutState.RUNNING }.forEach(::takeOverStatus)
    }

    private fun isUninformed(rollout: TrackedRollout, nowMillis: Long): Boolean {
        if (isEnd(rollout.decision)) return false
        val informedAt = rollout.heardPlan?.atMillis ?: rollout.trackedSinceMillis
        return nowMillis - informedAt > MAX_UNINFORMED_MILLIS
    }

    private suspend fun lead(rollout: TrackedRollout, self: String) {
        if (!decisions.isRead && !decisions.read()) return
        if (rollout.decision == RolloutState.RUNNING) takeOverStatus(rollout)
        if (rollout.decision != RolloutState.RUNNING) return writeAgain(rollout, self)
        if (decisions.needsWrite(rollout, RolloutState.RUNNING)) {
            if (!write(rollout, RolloutState.RUNNING, self)) return
        }
        val step = planner.plan(rollout, decisions.lastCallMillis)
        if (step.state != RolloutState.RUNNING && write(rollout, step.state, self)) {
            adopt(rollout, step.state, self)
        }
    }

    /** Goes by what the store says of [rollout], which another instance may have decided. */
    private fun takeOverStatus(rollout: TrackedRollout) {
        val status = decisions.statusOf(rollout) ?: return
        if (rollout.storedState == null) {
            status.order?.let { rollout.id = it }
            barred.add(rollout.order.service, status.barred)
            // The earliest time at which any instance saw the order is the closest to it.
            decisions.startMillis(status)?.let { rollout.startedAtMillis = minOf(rollout.startedAtMillis, it) }
        }
        rollout.storedState = status.state
        if (isEnd(status.state)) adopt(rollout, status.state, status.decidedBy ?: "store")
    }

    private suspend fun write(rollout: TrackedRollout, state: RolloutState, self: String): Boolean =
        decisions.write(rollout, state, self, barred.of(rollout.order.service))

    /** Writes the end of [rollout] again if the store lacks it, as after a restore from a copy without it. */
    private suspend fun writeAgain(rollout: TrackedRollout, self: String) {
        if (decisions.needsWrite(rollout, rollout.decision)) write(rollout, rollout.decision, self)
    }

    private fun isEnd(state: RolloutState) = state != RolloutState.RUNNING

    private fun logChange(rollout: TrackedRollout, message: String, vararg fields: Pair<String, Any?>) =
        rollout.logChange(log, message, *fields)

    private fun logEvidence(rollout: TrackedRollout, verdict: VersionVerdict, whole: ComparedVersions) = logChange(
        rollout,
        "the evidence on a version changes",
        "verdict" to verdict.name,
        "new" to whole.new.outcomes,
        "old" to whole.old.outcomes,
        "newTimings" to whole.new.timings,
        "oldTimings" to whole.old.timings,
        "newRoutes" to whole.new.routes.filterValues { it.bad > 0 },
        "oldRoutes" to whole.old.routes.filterValues { it.bad > 0 },
    )

    internal companion object {
        /** Time between calls of [updateShares] and [decide] while [isRunning]; a fault has to be noticed soon. */
        const val INTERVAL_MILLIS = 100L

        /** Time without a plan after which the store is asked; a holder's successor needs longer. */
        private const val MAX_UNINFORMED_MILLIS = 1_000L
        private const val MIN_READ_INTERVAL_MILLIS = 1_000L

        /** Keeps the reads of all instances together below 1,000 a second. */
        private const val READ_INTERVAL_PER_PEER_MILLIS = 1L

        /** The share of a canary changes a little each time that requests are counted. */
        private const val MIN_LOGGED_CHANGE = 0.02
    }
}
