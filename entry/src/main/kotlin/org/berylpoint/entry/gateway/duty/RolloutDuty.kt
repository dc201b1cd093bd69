package org.berylpoint.entry.gateway.duty

import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.entry.gateway.server.VersionSelector
import org.berylpoint.entry.gateway.site.SiteState
import org.berylpoint.model.VersionName
import org.berylpoint.model.serving.RolloutOrder
import org.berylpoint.model.serving.RolloutState
import org.berylpoint.model.serving.ServiceName
import org.berylpoint.peer.NodeReport
import org.berylpoint.platform.store.StoreClient
import org.berylpoint.platform.wire.StoreNames
import org.berylpoint.policy.rollout.RolloutShare
import org.berylpoint.policy.rollout.RolloutStep
import org.berylpoint.policy.rollout.VersionCounts
import kotlin.random.Random

/**
 * Splits traffic between the versions of a service that is being rolled out, by the outcomes at all instances. Every
 * instance does so for its own requests; the holder of the duty also writes the state for the operators.
 */
public class RolloutDuty(
    private val store: StoreClient,
    private val site: SiteState,
    private val peers: PeerView,
    private val clocks: Clocks,
    private val log: DecisionLog,
    private val random: Random,
    private val ownReport: () -> NodeReport,
) : VersionSelector {
    private class Known(val order: RolloutOrder, val sinceMillis: Long, val before: Map<Boolean, VersionCounts>) {
        var step = RolloutStep(0.0, RolloutState.RUNNING)
        var written: RolloutState? = null
    }

    private val rollouts = HashMap<ServiceName, Known>()

    @Synchronized
    override fun selectVersion(service: ServiceName, versions: Set<VersionName>): VersionName? {
        val known = rollouts[service] ?: return null
        val new = known.order.to
        if (new !in versions) return null
        val old = versions.filter { it != new }
        val share = if (old.isEmpty() && known.step.state != RolloutState.ROLLED_BACK) 1.0 else known.step.share
        return if (random.nextDouble() < share) new else old.firstOrNull()
    }

    /** Judges every rollout anew. */
    @Synchronized
    public fun judge() {
        for (order in site.view.rollouts.values) {
            val known = rollouts[order.service]?.takeIf { it.order.revision == order.revision } ?: begin(order)
            if (known.step.state == RolloutState.ROLLED_BACK) continue
            val counts = counts(order).mapValues { (isNew, now) ->
                val before = known.before.getValue(isNew)
                VersionCounts(now.good - before.good, now.bad - before.bad)
            }
            val elapsed = clocks.steady - known.sinceMillis
            val next = RolloutShare.step(counts.getValue(true), counts.getValue(false), elapsed, order.durationMillis)
            if (next != known.step) {
                log.belief(
                    "rollout",
                    "a version's share changes",
                    "service" to order.service.value,
                    "to" to order.to.value,
                    "share" to next.share,
                    "state" to next.state.name,
                    "new" to counts[true],
                    "old" to counts[false],
                )
            }
            known.step = next
        }
        rollouts.keys.retainAll(site.view.rollouts.keys)
    }

    /** Writes states that changed; only the holder of the duty calls this. */
    public suspend fun publish() {
        val due = synchronized(this) { rollouts.values.filter { it.written != it.step.state } }
        for (known in due) {
            val state = known.step.state
            val row = StoreNames.rolloutStatus(known.order.service, known.order.to, state)
            store.commit(emptyList(), listOf(row)).fold(
                ifLeft = { log.belief("rollout", "the state was not written", "state" to state.name, "cause" to it) },
                ifRight = {
                    known.written = state
                    log.belief(
                        "rollout",
                        "the state is written",
                        "service" to known.order.service.value,
                        "state" to state.name,
                    )
                },
            )
        }
    }

    private fun begin(order: RolloutOrder): Known =
        Known(order, clocks.steady, counts(order)).also { rollouts[order.service] = it }

    /** Outcomes of the new version (true) and of all others (false). */
    private fun counts(order: RolloutOrder): Map<Boolean, VersionCounts> {
        val parts = peers.allReports(ownReport())
            .flatMap { it.outcomes }
            .filter { it.service == order.service.value }
        return listOf(true, false).associateWith { isNew ->
            val its = parts.filter { (it.version == order.to.value) == isNew }
            VersionCounts(its.sumOf { it.good }, its.sumOf { it.bad })
        }
    }
}
