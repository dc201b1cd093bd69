package org.berylpoint.policy.performance

import org.berylpoint.model.serving.ServiceName
import kotlin.math.log2
import kotlin.math.pow

/**
 * Learned performance of backend servers, for servers of one service that differ in speed and slow down for moments.
 *
 * A service has durations as functions of the running requests (time per token, prefill time per prompt token). A
 * server has one speed factor on both, from the gaps between events of its streams, which contain no wait for a slot or
 * for prefill. First events tell the prefill time where little was waiting. A server of a plain service is observed by
 * its response times.
 *
 * Observations become medians over the last fraction of a second, and are exchanged between instances as
 * [LearnedValue]s; the weighted median over instances, with weights that halve within [SPEED_HALF_LIFE_MILLIS], is a
 * server's speed. Without recent evidence it returns to that of the servers of its version.
 *
 * Times are in milliseconds, and `nowMillis` must not decrease. Not thread-safe.
 */
public class PerformanceModel {
    private class ServerState {
        var samples: SpeedSamples? = null
        val pooled = PooledEvidence(SPEED_HALF_LIFE_MILLIS)
        var reportedAtMillis = Long.MIN_VALUE
        val hasNews get() = samples?.hasNews ?: false

        fun takeNews(key: Int, nowMillis: Long): LearnedValue? {
            val samples = samples ?: return null
            samples.takeNews()
            reportedAtMillis = nowMillis
            return samples.log2(nowMillis)?.let { LearnedValue.of(key, it, samples.count(nowMillis)) }
        }
    }

    private val services = HashMap<ServiceName, ServicePerformance>()

    /** By [ModelledServer.key], also of servers that are known from reports only; those updated last are kept. */
    private val states = LinkedHashMap<Int, ServerState>(INITIAL_SERVERS, LOAD_FACTOR, true)
    private val servers = HashMap<Int, ModelledServer>()
    private val curvesByKey = HashMap<Int, ServiceCurve>()
    private val medianSpeeds = HashMap<ServiceName, Double>()
    private var newsOffset = 0

    /** Records which servers are [present], and derives the priors of their versions from the known ones. */
    public fun updateServers(present: Collection<ModelledServer>, nowMillis: Long) {
        servers.clear()
        for (server in present) {
            servers[server.key] = server
            serviceOf(server)
        }
        updatePriors(nowMillis)
        for ((service, present) in servers.values.groupBy { it.service }) {
            medianSpeeds[service] = present.map { speedFactor(it, nowMillis) }.sorted()[present.size / 2]
        }
    }

    /**
     * Records that successive events of a stream from [server] arrived [gapMillis] apart ([StreamGaps]) while it ran
     * [active] requests. A gap is excluded if this process was itself late by [lagMillis], a large part of it.
     */
    public fun recordGap(server: ModelledServer, gapMillis: Double, active: Int, lagMillis: Long, nowMillis: Long) {
        val tokens = server.tokensPerEvent ?: return
        if (lagMillis > gapMillis * MAX_LAG_SHARE) return
        recordToken(server, gapMillis / tokens, active, nowMillis)
    }

    /** Records that a plain server responded after [millis] to a request that found [active] requests at it. */
    public fun recordResponse(server: ModelledServer, millis: Double, active: Int, lagMillis: Long, nowMillis: Long) {
        // The time beyond a server's slots contains a wait of unknown length.
        if (active > server.slots || lagMillis > millis * MAX_LAG_SHARE) return
        recordToken(server, millis, active, nowMillis)
    }

    private fun recordToken(server: ModelledServer, tokenMillis: Double, active: Int, nowMillis: Long) {
        val millis = tokenMillis.coerceAtLeast(MIN_TOKEN_MILLIS)
        val service = serviceOf(server)
        service.token.observe(server.occupancy(active), millis, nowMillis)
        val expected = service.token.millis(server.occupancy(active), nowMillis) ?: return
        val state = stateOf(server.key)
        val samples = state.samples ?: service.newSamples().also { state.samples = it }
        samples.add(log2(expected / millis), service.maxRatio, nowMillis)
        samples.log2(nowMillis)?.let { state.pooled.put(OWN, it, samples.count(nowMillis), nowMillis) }
    }

    /**
     * Records a first event [millis] after its request was sent, with [promptTokens] of its own to prefill and
     * [pendingTokens] ahead of it as far as is known. Excluded where much was waiting: what this instance knows of the
     * queue is old, and its error grows with it.
     */
    public fun recordFirstEvent(
        server: ModelledServer,
        millis: Double,
        promptTokens: Long,
        pendingTokens: Long,
        active: Int,
        lagMillis: Long,
        nowMillis: Long,
    ) {
        if (server.tokensPerEvent == null || promptTokens < MIN_PROMPT_TOKENS) return
        if (pendingTokens > promptTokens || active > server.slots || lagMillis > millis * MAX_LAG_SHARE) return
        val service = serviceOf(server)
        val factor = speedFactor(server, nowMillis)
        val prefill = millis * factor - service.firstEventMillis(server, active, nowMillis)
        val perToken = (prefill / (promptTokens + pendingTokens)).coerceAtLeast(MIN_PREFILL_MILLIS)
        service.prefill.observe(server.occupancy(active), perToken, nowMillis)
    }

    /** Records that a request held a slot of [server] for [millis]. */
    public fun recordRun(server: ModelledServer, millis: Double, nowMillis: Long) {
        val speed = speedFactor(server, nowMillis)
        serviceOf(server).run.observe(0.0, millis.coerceAtLeast(MIN_TOKEN_MILLIS) * speed, nowMillis)
    }

    /** Records a request for the capacity that the service's requests need. */
    public fun recordRequest(server: ModelledServer, promptTokens: Long, targetMillis: Long): Unit =
        serviceOf(server).mix.add(promptTokens, targetMillis)

    /** Adds what the instance [source] has learned. Values of servers that are not known here yet are kept, bounded. */
    public fun merge(source: String, values: List<LearnedValue>, nowMillis: Long) {
        for (value in values) {
            val curve = curvesByKey[value.key]
            if (curve != null) curve.merge(value, source, nowMillis) else put(value, source, nowMillis)
        }
    }

    private fun put(value: LearnedValue, source: String, nowMillis: Long) =
        stateOf(value.key).pooled.put(source, value.log2, value.weight, nowMillis)

    /**
     * What this instance has learned since it was last reported, at most [MAX_SERVER_NEWS] values of servers and
     * [MAX_SERVICE_NEWS] of services; those that have waited longest come first.
     */
    public fun takeNews(nowMillis: Long): List<LearnedValue> {
        val curves = services.values.flatMap { it.curves }
        val ofServices = curves.indices.asSequence().map { curves[(it + newsOffset) % curves.size] }
            .mapNotNull { it.takeNews(nowMillis) }
            .take(MAX_SERVICE_NEWS).toList()
        newsOffset++
        val ofServers = states.entries.filter { it.value.hasNews }
            .sortedBy { it.value.reportedAtMillis }
            .take(MAX_SERVER_NEWS)
            .mapNotNull { (key, state) -> state.takeNews(key, nowMillis) }
        return ofServices + ofServers
    }

    /** Speed of [server] relative to a typical server of its service; above 1 for a faster one. */
    public fun speedFactor(server: ModelledServer, nowMillis: Long): Double {
        val prior = serviceOf(server).priorLog2(server.version)
        val evidence = states[server.key]?.pooled?.result(nowMillis)
        val own = evidence?.log2 ?: return if (prior == 0.0) 1.0 else 2.0.pow(prior)
        val mean = (own * evidence.weight + prior * PRIOR_WEIGHT) / (evidence.weight + PRIOR_WEIGHT)
        return 2.0.pow(mean.coerceIn(MIN_LOG2_SPEED, MAX_LOG2_SPEED))
    }

    /** What is expected of [server] while it runs [active] requests. */
    public fun expectation(server: ModelledServer, active: Int, nowMillis: Long): ServerExpectation {
        val service = serviceOf(server)
        val speed = speedFactor(server, nowMillis)
        return ServerExpectation(
            service.prefillMillis(server.occupancy(active), nowMillis) / speed,
            service.firstEventMillis(server, active, nowMillis) / speed,
            speed,
            service.unavoidableMillis(nowMillis) / medianSpeed(server.service),
        )
    }

    /** Time until the first event of a request with [promptTokens] to prefill after [pendingTokens] of others. */
    public fun expectedFirstEventMillis(
        server: ModelledServer,
        pendingTokens: Long,
        promptTokens: Long,
        active: Int,
        nowMillis: Long,
    ): Double = expectation(server, active, nowMillis).millis(pendingTokens + promptTokens)

    /** Time per token of each stream while [server] runs [active] requests; null without evidence of the service. */
    public fun expectedTokenMillis(server: ModelledServer, active: Int, nowMillis: Long): Double? =
        serviceOf(server).token.millis(server.occupancy(active), nowMillis)?.div(speedFactor(server, nowMillis))

    /** Speed of [server] relative to the median of the present servers of its service; 1 while it is unknown. */
    public fun relativeSpeed(server: ModelledServer, nowMillis: Long): Double =
        speedFactor(server, nowMillis) / medianSpeed(server.service)

    /** Whether this instance or another has observed [server] lately. */
    public fun hasEvidence(server: ModelledServer, nowMillis: Long): Boolean =
        (states[server.key]?.pooled?.result(nowMillis)?.weight ?: 0.0) >= MIN_EVIDENCE

    /** Median speed of the present servers of [service], as of the last [updateServers]. */
    private fun medianSpeed(service: ServiceName): Double = medianSpeeds[service] ?: 1.0

    /** What [server] carries while the requests that its service gets start within their targets. */
    public fun capacity(server: ModelledServer, nowMillis: Long): ServerCapacity =
        serviceOf(server).capacity(server, speedFactor(server, nowMillis), nowMillis)

    /** What a server like [server] carries at the median speed of the present servers of the service. */
    public fun typicalCapacity(server: ModelledServer, nowMillis: Long): ServerCapacity =
        serviceOf(server).capacity(server, medianSpeed(server.service), nowMillis)

    private fun updatePriors(nowMillis: Long) {
        val known = servers.values.mapNotNull { server ->
            val result = states[server.key]?.pooled?.result(nowMillis) ?: return@mapNotNull null
            result.log2?.takeIf { result.weight >= MIN_EVIDENCE }?.let { server to it }
        }
        for ((name, ofService) in known.groupBy({ it.first.service }) { it }) {
            services[name]?.updatePriors(ofService.groupBy({ it.first.version }) { it.second })
        }
        for ((name, ofService) in servers.values.groupBy { it.service }) {
            services[name]?.updateRatio(ofService.mapNotNull { states[it.key]?.samples?.ratio(nowMillis) })
        }
    }

    private fun serviceOf(server: ModelledServer): ServicePerformance = services.getOrPut(server.service) {
        ServicePerformance(server.service, server.tokensPerEvent != null).also { service ->
            for (curve in service.curves) curve.keys.associateWithTo(curvesByKey) { curve }
        }
    }

    private fun stateOf(key: Int): ServerState {
        states[key]?.let { return it }
        if (states.size >= MAX_STATES) states.remove(states.keys.first())
        return ServerState().also { states[key] = it }
    }

    private companion object {
        /** Short, so that evidence from before a change of speed is outweighed by the next reports. */
        const val SPEED_HALF_LIFE_MILLIS = 300L

        /** Observations by which the prior speed counts. */
        const val PRIOR_WEIGHT = 0.5

        /** Observations, decayed, from which a server counts as known. */
        const val MIN_EVIDENCE = 1.0
        const val MIN_LOG2_SPEED = -5.0
        const val MAX_LOG2_SPEED = 2.0

        /** Part of an observed time up to which a lag of this process does not exclude the observation. */
        const val MAX_LAG_SHARE = 0.25

        /** Prompts below this length take hardly longer than the steps around them. */
        const val MIN_PROMPT_TOKENS = 200L
        const val MIN_TOKEN_MILLIS = 0.05
        const val MIN_PREFILL_MILLIS = 0.0005

        /** Bound the bytes of a report. */
        const val MAX_SERVER_NEWS = 12
        const val MAX_SERVICE_NEWS = 2

        /** More than the servers of the largest deployments, 10,000. */
        const val MAX_STATES = 16_384
        const val INITIAL_SERVERS = 64
        const val LOAD_FACTOR = 0.75f
    }
}
