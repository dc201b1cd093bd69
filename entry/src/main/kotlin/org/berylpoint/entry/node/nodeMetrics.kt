package org.berylpoint.entry.node

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.berylpoint.entry.member.Member

/** Registers the metrics of [node]. Values are read at each scrape. */
internal fun registerNodeMetrics(node: EntryNode, registry: PrometheusRegistry) {
    gauge(registry, "berylpoint_requests_in_flight", "Requests that run or wait on this instance.") {
        node.inFlight.toDouble()
    }
    gauge(registry, "berylpoint_catalogue_version", "Version of the catalogue in force here; -1 while none is known.") {
        (node.catalogue.current.value?.version ?: -1).toDouble()
    }
    gauge(registry, "berylpoint_members_alive", "Entry instances heard from lately, this one included.") {
        node.membership.view.value.alive.size.toDouble()
    }
    gauge(registry, "berylpoint_members_suspect", "Entry instances that are silent and not confirmed gone.") {
        node.membership.view.value.members.values.count { it.state == Member.State.SUSPECT }.toDouble()
    }
}

private fun gauge(registry: PrometheusRegistry, name: String, help: String, value: () -> Double) {
    GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
}
