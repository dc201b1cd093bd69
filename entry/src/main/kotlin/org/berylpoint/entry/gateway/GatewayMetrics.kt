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
    private val attemptFailures = Counter.builder()
        .name("berylpoint_attempt_failures_total")
        .help("Attempts at servers that failed, by the way they ended.")
        .labelNames("end")
        .register(registry)
    private val responseFaults = Counter.builder()
        .name("berylpoint_server_response_faults_total")
        .help("Bytes of servers that were no valid response, by what was wrong; the connection was closed.")
        .labelNames("fault")
        .register(registry)
    private val dutyCalls = Counter.builder()
        .name("berylpoint_duty_calls_total")
        .help("Calls of duties to the cloud, by duty and outcome.")
        .labelNames("duty", "outcome")
        .register(registry)

    private val queueWaits = Histogram.builder()
        .name("berylpoint_queue_wait_seconds")
        .help("Time from the arrival of requests that waited for a server to their start, by rank.")
        .labelNames("rank")
        .classicOnly()
        .classicUpperBounds(0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0)
        .register(registry)
    private val queueRefusals = Counter.builder()
        .name("berylpoint_queue_refusals_total")
        .help("Requests that got no server in time and were refused as not run, by rank and reason.")
        .labelNames("rank", "reason")
        .register(registry)

    /** Records that a request of [rank] started [millis] after its arrival, having waited for a server. */
    public fun queueWaited(rank: Int, millis: Long): Unit =
        queueWaits.labelValues("$rank").observe(millis / MILLIS_PER_SECOND)

    /** Counts a request of [rank] that got no server; [reason] is one of few. */
    public fun queueRefused(rank: Int, reason: String): Unit = queueRefusals.labelValues("$rank", reason).inc()

    /** Counts a request that ended; [latencyMillis] is the time to the whole answer or to a stream's first event. */
    public fun requestEnded(outcome: String, route: String, latencyMillis: Long) {
        requests.labelValues(route, outcome).inc()
        latency.labelValues(outcome).observe(latencyMillis / MILLIS_PER_SECOND)
    }

    /** Counts a failed attempt at a server; [end] is the way it ended. */
    public fun attemptFailed(end: String) {
        attemptFailures.labelValues(end).inc()
    }

    /** Counts bytes of a server that were no valid response; [fault] is what was wrong. */
    public fun responseFault(fault: String) {
        responseFaults.labelValues(fault).inc()
    }

    /** Counts a call of a duty to the cloud. */
    public fun dutyCallEnded(duty: String, outcome: String) {
        dutyCalls.labelValues(duty, outcome).inc()
    }

    /** Registers a gauge whose [value] is read at each scrape. */
    public fun gauge(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
    }

    /** Registers a gauge whose [values] are read at each scrape, each with the values of its [labels]. */
    public fun gauges(name: String, help: String, labels: List<String>, values: () -> Map<List<String>, Double>) {
        GaugeWithCallback.builder().name(name).help(help).labelNames(*labels.toTypedArray())
            .callback { gauge -> values().forEach { (of, value) -> gauge.call(value, *of.toTypedArray()) } }
            .register(registry)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
