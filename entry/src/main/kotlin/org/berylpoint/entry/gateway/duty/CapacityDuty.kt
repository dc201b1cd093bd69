package org.berylpoint.entry.gateway.duty

import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.GatewayMetrics
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.entry.gateway.server.ServerSpeeds
import org.berylpoint.entry.gateway.site.ObservedServer
import org.berylpoint.entry.gateway.site.SiteState
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.serving.ScalingLimits
import org.berylpoint.model.serving.Service
import org.berylpoint.model.serving.ServiceName
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.ServerLoads
import org.berylpoint.platform.cloud.CloudClient
import org.berylpoint.platform.cloud.DutyHolder
import org.berylpoint.policy.capacity.CapacityBounds
import org.berylpoint.policy.capacity.CapacityPlan
import org.berylpoint.policy.capacity.DemandMeter
import org.berylpoint.policy.capacity.DomainSupply

/** Orders reclaimable and on-demand servers in each failure domain, according to the demand on each service. */
public class CapacityDuty(
    private val cloud: CloudClient,
    private val site: SiteState,
    private val peers: PeerView,
    private val speeds: ServerSpeeds,
    private val clocks: Clocks,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    private val ownReport: () -> NodeReport,
    /** Whether the whole site starts for the first time, with its initial servers. */
    private val isFirstStart: Boolean,
) {
    private data class OrderKey(val service: ServiceName, val domain: FailureDomain, val isReclaimable: Boolean)

    private val orderedCounts = HashMap<OrderKey, Int>()
    private val unavailableUntilMillis = HashMap<Pair<ServiceName, FailureDomain>, Long>()
    private val shrinkPendingSinceMillis = HashMap<OrderKey, Long>()
    private val meters = HashMap<ServiceName, DemandMeter>()

    private class InitialServers(val count: Int, val sinceMillis: Long)

    /** The highest number of on-demand servers seen since the first start of the site, and since when it stands. */
    private val initialServers = HashMap<ServiceName, InitialServers>()

    /** Records the demand at present. Every instance does so, so that a new lease holder knows it. */
    public fun recordDemand() {
        for (service in scaledServices()) {
            val meter = meters.getOrPut(service.name) { DemandMeter() }
            meter.add(prefillTokens(service), activeRequests(service), clocks.steadyMillis)
        }
        detectReclaims()
    }

    /** Prompt tokens that [service] had to prefill so far, by process. */
    private fun prefillTokens(service: Service): Map<String, Long> = peers.allReports(ownReport())
        .flatMap { report -> report.demands.map { "${report.name}/${report.startedAtMillis}" to it } }
        .filter { (_, part) -> part.service == service.name.value }
        .associate { (process, part) -> process to part.prefillTokens }

    /** Requests in progress at the servers of [service]. */
    private fun activeRequests(service: Service): Int {
        val ids = site.view.servers.values.map { it.entry }.filter { it.service == service.name }
            .map { it.id.value }
            .toSet()
        val loads = ServerLoads.sum((peers.liveReports + ownReport()).map { it.serverLoads })
        return ids.sumOf { loads[it].active }
    }

    /** Sends the orders that changed to the cloud; none is sent while [holder] returns null. */
    public suspend fun sendOrders(holder: () -> DutyHolder?) {
        for (service in scaledServices()) order(service, holder)
    }

    private suspend fun order(service: Service, holder: () -> DutyHolder?) {
        val limits = service.scaling ?: return
        val demand = meters[service.name]?.demand()
        val needed = demand?.serversNeeded(speeds.typicalCapacity(service)) ?: initialDemand(service) ?: return
        val mayOrderOnDemand = demand != null || hasInitialServersRegistered(service)
        for (order in plan(service, limits, needed)) {
            send(service, OrderKey(service.name, order.domain, true), order.reclaimable, holder)
            if (mayOrderOnDemand) send(service, OrderKey(service.name, order.domain, false), order.onDemand, holder)
        }
    }

    /**
     * Number of servers taken to be needed before any demand has been measured: a share of the site's initial servers.
     * Null after a later start of the site: the servers present were ordered for an earlier demand and stay until the
     * demand is measured.
     */
    private fun initialDemand(service: Service): Double? {
        if (!isFirstStart) return null
        val present = site.view.usableServers(service.name).count { !it.entry.isReclaimable }
        val initial = initialServers[service.name]?.takeIf { it.count >= present }
            ?: InitialServers(present, clocks.steadyMillis).also { initialServers[service.name] = it }
        return initial.count * INITIAL_DEMAND_SHARE
    }

    /** Whether all initial servers of the site are taken to have registered themselves. */
    private fun hasInitialServersRegistered(service: Service): Boolean =
        initialServers[service.name]?.let { clocks.steadyMillis - it.sinceMillis >= REGISTRATION_QUIET_MILLIS } ?: false

    private fun scaledServices(): List<Service> =
        site.view.config?.services?.values.orEmpty().filter { it.scaling != null }

    private fun plan(service: Service, limits: ScalingLimits, needed: Double) = CapacityPlan.orders(
        needed = needed,
        domains = limits.domainPrices.map { (domain, price) ->
            val until = unavailableUntilMillis[service.name to domain] ?: Long.MIN_VALUE
            DomainSupply(
                domain,
                price,
                warmReclaimable(service, domain).size,
                presentServers(service, domain, true),
                clocks.steadyMillis < until,
                domain in site.view.outOfServiceDomains,
                warmReclaimable(service, domain).sumOf { speeds.relativeSpeed(it, service) },
            )
        },
        bounds = CapacityBounds(
            limits.min,
            limits.max,
            limits.reclaimablePriceShare != null,
            onDemandCapacity(service),
        ),
    )

    /** Mean capacity of the on-demand servers of [service], in servers of typical speed; 1 if there are none. */
    private fun onDemandCapacity(service: Service): Double {
        val present = site.view.usableServers(service.name).filterNot { it.entry.isReclaimable }
        return if (present.isEmpty()) 1.0 else present.sumOf { speeds.relativeSpeed(it, service) } / present.size
    }

    private suspend fun send(service: Service, key: OrderKey, count: Int, holder: () -> DutyHolder?) {
        // There are no reclaimable servers before the first order.
        val last = orderedCounts[key] ?: if (key.isReclaimable) 0 else null
        if (last == count) {
            shrinkPendingSinceMillis.remove(key)
            return
        }
        if (isTooEarlyToShrink(service, key, count)) return
        val dutyHolder = holder() ?: return
        val result = cloud.orderServers(dutyHolder, key.service, key.domain, count, key.isReclaimable)
        log.event(
            "duty", "servers are ordered", "service" to key.service.value, "domain" to key.domain.name,
            "count" to count, "before" to last, "reclaimable" to key.isReclaimable, "token" to dutyHolder.fencingToken,
            "outcome" to result.fold({ it.toString() }, { "status $it" }),
        )
        metrics.dutyCallEnded("scaling", result.fold({ "error" }, { it.toString() }))
        val status = result.getOrNull()
        if (status == STATUS_OK) {
            orderedCounts[key] = count
            shrinkPendingSinceMillis.remove(key)
        }
        if (status == STATUS_NONE_AVAILABLE) {
            unavailableUntilMillis[key.service to key.domain] = clocks.steadyMillis + UNAVAILABLE_RETRY_MILLIS
        }
    }

    /** Whether an order for fewer servers has to wait: it is sent only when fewer have been enough for a while. */
    private fun isTooEarlyToShrink(service: Service, key: OrderKey, count: Int): Boolean {
        val last = orderedCounts[key] ?: presentServers(service, key.domain, key.isReclaimable)
        if (count > last) {
            shrinkPendingSinceMillis.remove(key)
            return false
        }
        val delayMillis = if (key.isReclaimable) RECLAIMABLE_SHRINK_DELAY_MILLIS else ON_DEMAND_SHRINK_DELAY_MILLIS
        return clocks.steadyMillis - shrinkPendingSinceMillis.getOrPut(key) { clocks.steadyMillis } < delayMillis
    }

    /**
     * Detects domains whose reclaimable servers drain without an order: the cloud takes them back, and none are
     * available there for a while.
     */
    private fun detectReclaims() {
        for (service in scaledServices()) {
            val draining = site.view.servers.values.map { it.entry }
                .filter { it.service == service.name && it.isReclaimable && it.isDraining }
            val domains = draining.map { it.domain }.distinct()
            domains.filter { isReclaimed(service, it) }.forEach { recordReclaim(service, it) }
        }
    }

    private fun isReclaimed(service: Service, domain: FailureDomain): Boolean {
        val isAlreadyRecorded = clocks.steadyMillis < (unavailableUntilMillis[service.name to domain] ?: Long.MIN_VALUE)
        val isOrderedToZero = orderedCounts[OrderKey(service.name, domain, true)] == 0
        return !isAlreadyRecorded && !isOrderedToZero && presentServers(service, domain, true) == 0
    }

    private fun recordReclaim(service: Service, domain: FailureDomain) {
        unavailableUntilMillis[service.name to domain] = clocks.steadyMillis + RECLAIM_RETRY_MILLIS
        orderedCounts.remove(OrderKey(service.name, domain, true))
        log.event("duty", "servers are reclaimed", "domain" to domain.name, "service" to service.name.value)
    }

    private fun presentServers(service: Service, domain: FailureDomain, isReclaimable: Boolean): Int =
        site.view.servers.values.map { it.entry }
            .filter { it.service == service.name && it.domain == domain && !it.isDraining }
            .count { it.isReclaimable == isReclaimable }

    private fun warmReclaimable(service: Service, domain: FailureDomain): List<ObservedServer> =
        site.view.usableServers(service.name).filter {
            it.entry.domain == domain && it.entry.isReclaimable && !it.isCold(clocks.steadyMillis)
        }

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_NONE_AVAILABLE = 409
        const val INITIAL_DEMAND_SHARE = 0.5
        const val ON_DEMAND_SHRINK_DELAY_MILLIS = 2_000L

        /** Longer, since released reclaimable servers may not be available again when others are reclaimed. */
        const val RECLAIMABLE_SHRINK_DELAY_MILLIS = 12_000L

        /** The initial servers are taken to have registered themselves when no more have appeared for this long. */
        const val REGISTRATION_QUIET_MILLIS = 3_000L

        /** Time until reclaimable servers are ordered again in a domain that had none available. */
        const val UNAVAILABLE_RETRY_MILLIS = 2_000L

        /** Time until reclaimable servers are ordered again in a domain where they were reclaimed. */
        const val RECLAIM_RETRY_MILLIS = 4_000L
    }
}
