package org.berylpoint.entry.gateway

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Counters and latency histograms of the serving path. */
public class GatewayMetrics(private val registry: PrometheusRegistry) {
    private val latency = Histogram.builder()
        .name("berylpoint_request_seconds")
        .help("Time to the whole answer, or to the first event of a stream, by outcome.")
        .labelNames("outcome")
        .classicOnly()
        .classicUpperBounds(0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 10.0)
        .register(registry)
    private val requests = Counter.builder()
        .name("berylpoint_requests_total")
        .help("Requests that ended, by route and outcome.")
        .labelNames("route", "outcome")
        .register(registry)
    private val failures = Counter.builder()
        .name("berylpoint_attempt_failures_total")
        .help("Attempts at servers that failed, by the way they ended.")
        .labelNames("end")
        .register(registry)
    private val duties = Counter.builder()
        .name("berylpoint_duty_calls_total")
        .help("Calls of duties to the cloud, by duty and outcome.")
        .labelNames("duty", "outcome")
        .register(registry)

    /** A request that ended after [millis]. */
    public fun requestEnded(outcome: String, route: String, millis: Long) {
        requests.labelValues(route, outcome).inc()
        latency.labelValues(outcome).observe(millis / MILLIS)
    }

    /** An attempt that failed. */
    public fun attemptFailed(end: String) {
        failures.labelValues(end).inc()
    }

    /** A call of a duty. */
    public fun dutyCall(duty: String, outcome: String) {
        duties.labelValues(duty, outcome).inc()
    }

    /** A value that is read when it is scraped. */
    public fun gauge(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
    }

    private companion object {
        const val MILLIS = 1000.0
    }
}
