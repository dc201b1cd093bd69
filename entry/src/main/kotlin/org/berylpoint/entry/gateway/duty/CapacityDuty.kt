package org.berylpoint.entry.gateway.duty

import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.GatewayMetrics
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.entry.gateway.site.SiteState
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.serving.ScalingLimits
import org.berylpoint.model.serving.Service
import org.berylpoint.model.serving.ServiceName
import org.berylpoint.peer.NodeReport
import org.berylpoint.platform.cloud.CloudClient
import org.berylpoint.platform.cloud.DutyHolder
import org.berylpoint.policy.capacity.CapacityBounds
import org.berylpoint.policy.capacity.CapacityPlan
import org.berylpoint.policy.capacity.DemandMeter
import org.berylpoint.policy.capacity.DomainSupply

/** Orders servers for what callers ask, by domain and kind. */
public class CapacityDuty(
    private val cloud: CloudClient,
    private val site: SiteState,
    private val peers: PeerView,
    private val clocks: Clocks,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    private val ownReport: () -> NodeReport,
    /** Whether the whole site starts for the first time, with the servers that it was set up with. */
    private val isFirstStart: Boolean,
) {
    private data class Subject(val service: ServiceName, val domain: FailureDomain, val isReclaimable: Boolean)

    private val ordered = HashMap<Subject, Int>()
    private val shortUntil = HashMap<Pair<ServiceName, FailureDomain>, Long>()
    private val shrinkingSince = HashMap<Subject, Long>()
    private val meters = HashMap<ServiceName, DemandMeter>()

    private class SetUp(val servers: Int, val sinceMillis: Long)

    /** On-demand servers that the site was set up with. */
    private val setUp = HashMap<ServiceName, SetUp>()

    /** Takes in the demand seen so far; every instance does, so that a new holder knows it. */
    public fun recordDemand() {
        for (service in scaled()) {
            val meter = meters.getOrPut(service.name) { DemandMeter() }
            meter.add(promptTokens(service), active(service), clocks.steadyMillis)
        }
        noticeReclaims()
    }

    /** Prompt tokens asked of [service] so far, by process. */
    private fun promptTokens(service: Service): Map<String, Long> = peers.allReports(ownReport())
        .flatMap { report -> report.demands.map { "${report.name}/${report.startedAtMillis}" to it } }
        .filter { (_, part) -> part.service == service.name.value }
        .associate { (process, part) -> process to part.promptTokens }

    /** Requests in progress at the servers of [service]. */
    private fun active(service: Service): Int {
        val ids = site.view.servers.values.map { it.entry }.filter { it.service == service.name }
            .map { it.id.value }
            .toSet()
        return (peers.liveReports + ownReport()).flatMap { it.loads }.filter { it.server in ids }.sumOf { it.active }
    }

    /** Sends the orders that changed. */
    public suspend fun sendOrders(holder: () -> DutyHolder?) {
        for (service in scaled()) order(service, holder)
    }

    private suspend fun order(service: Service, holder: () -> DutyHolder?) {
        val limits = service.scaling ?: return
        val demand = meters[service.name]?.demand()
        val needed = demand?.needed(service.engine?.batchSlots ?: DEFAULT_SLOTS) ?: expected(service) ?: return
        val mayShrink = demand != null || isSetUp(service)
        for (order in plan(service, limits, needed)) {
            send(service, Subject(service.name, order.domain, true), order.reclaimable, holder)
            if (mayShrink) send(service, Subject(service.name, order.domain, false), order.onDemand, holder)
        }
    }

    /**
     * Before there is any load, part of the servers that the site was set up with are taken to be needed. After a later
     * start the servers that are there were ordered for a load, so they stay until it is measured: null.
     */
    private fun expected(service: Service): Double? {
        if (!isFirstStart) return null
        val present = site.view.usableServers(service.name).count { !it.entry.isReclaimable }
        val known = setUp[service.name]?.takeIf { it.servers >= present }
            ?: SetUp(present, clocks.steadyMillis).also { setUp[service.name] = it }
        return known.servers * EXPECTED_SHARE
    }

    /** Whether all servers that start with the site are taken to have registered themselves. */
    private fun isSetUp(service: Service): Boolean =
        setUp[service.name]?.let { clocks.steadyMillis - it.sinceMillis >= SET_UP_MILLIS } ?: false

    private fun scaled(): List<Service> = site.view.config?.services?.values.orEmpty().filter { it.scaling != null }

    private fun plan(service: Service, limits: ScalingLimits, needed: Double) = CapacityPlan.orders(
        needed = needed,
        domains = limits.domainPrices.map { (domain, price) ->
            val until = shortUntil[service.name to domain] ?: Long.MIN_VALUE
            DomainSupply(
                domain,
                price,
                warmReclaimable(service, domain),
                present(service, domain, true),
                clocks.steadyMillis < until,
                domain in site.view.outOfServiceDomains,
            )
        },
        bounds = CapacityBounds(limits.min, limits.max, limits.reclaimablePriceShare != null),
    )

    private suspend fun send(service: Service, subject: Subject, count: Int, holder: () -> DutyHolder?) {
        // No reclaimable server is there before the first order.
        val last = ordered[subject] ?: if (subject.isReclaimable) 0 else null
        if (last == count) {
            shrinkingSince.remove(subject)
            return
        }
        if (isTooEarlyToShrink(service, subject, count)) return
        val acting = holder() ?: return
        val result = cloud.orderServers(acting, subject.service, subject.domain, count, subject.isReclaimable)
        log.event(
            "duty", "servers are ordered", "service" to subject.service.value, "domain" to subject.domain.name,
            "count" to count, "before" to last, "reclaimable" to subject.isReclaimable, "token" to acting.fencingToken,
            "outcome" to result.fold({ it.toString() }, { "status $it" }),
        )
        metrics.dutyCall("scaling", result.fold({ "error" }, { it.toString() }))
        val status = result.getOrNull()
        if (status == OK) {
            ordered[subject] = count
            shrinkingSince.remove(subject)
        }
        if (status == NONE_AVAILABLE) shortUntil[subject.service to subject.domain] = clocks.steadyMillis + SHORT_MILLIS
    }

    /** Fewer servers are ordered only when fewer were enough for a while. */
    private fun isTooEarlyToShrink(service: Service, subject: Subject, count: Int): Boolean {
        val last = ordered[subject] ?: present(service, subject.domain, subject.isReclaimable)
        if (count > last) {
            shrinkingSince.remove(subject)
            return false
        }
        val patience = if (subject.isReclaimable) RECLAIMABLE_SHRINK_MILLIS else SHRINK_MILLIS
        return clocks.steadyMillis - shrinkingSince.getOrPut(subject) { clocks.steadyMillis } < patience
    }

    /** A domain whose reclaimable servers drain without an order has none to give for a while. */
    private fun noticeReclaims() {
        for (service in scaled()) {
            val leaving = site.view.servers.values.map { it.entry }
                .filter { it.service == service.name && it.isReclaimable && it.isDraining }
            val domains = leaving.map { it.domain }.distinct()
            domains.filter { isReclaimed(service, it) }.forEach { noteReclaim(service, it) }
        }
    }

    private fun isReclaimed(service: Service, domain: FailureDomain): Boolean {
        val isNoted = clocks.steadyMillis < (shortUntil[service.name to domain] ?: Long.MIN_VALUE)
        val isOrderedAway = ordered[Subject(service.name, domain, true)] == 0
        return !isNoted && !isOrderedAway && present(service, domain, true) == 0
    }

    private fun noteReclaim(service: Service, domain: FailureDomain) {
        shortUntil[service.name to domain] = clocks.steadyMillis + RECLAIMED_MILLIS
        ordered.remove(Subject(service.name, domain, true))
        log.event("duty", "servers are reclaimed", "domain" to domain.name, "service" to service.name.value)
    }

    private fun present(service: Service, domain: FailureDomain, isReclaimable: Boolean): Int =
        site.view.servers.values.map { it.entry }
            .filter { it.service == service.name && it.domain == domain && !it.isDraining }
            .count { it.isReclaimable == isReclaimable }

    private fun warmReclaimable(service: Service, domain: FailureDomain): Int =
        site.view.usableServers(service.name).count {
            it.entry.domain == domain && it.entry.isReclaimable && !it.isCold(clocks.steadyMillis)
        }

    private companion object {
        const val OK = 200
        const val NONE_AVAILABLE = 409
        const val DEFAULT_SLOTS = 8
        const val EXPECTED_SHARE = 0.5
        const val SHRINK_MILLIS = 2_000L

        /** Reclaimable servers that are given up may not be had again when the next ones are taken back. */
        const val RECLAIMABLE_SHRINK_MILLIS = 12_000L

        /** Servers that start with the site have registered themselves when no more have come for this long. */
        const val SET_UP_MILLIS = 3_000L

        /** Time until reclaimable servers are ordered again where none were to be had. */
        const val SHORT_MILLIS = 2_000L

        /** The same after a domain's reclaimable servers were taken back. */
        const val RECLAIMED_MILLIS = 4_000L
    }
}
