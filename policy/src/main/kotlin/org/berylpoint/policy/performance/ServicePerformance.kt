package org.berylpoint.policy.performance

import org.berylpoint.model.VersionName
import org.berylpoint.model.serving.ServiceName
import kotlin.math.pow
import kotlin.math.sqrt

/** What is known of the servers of one service in common: durations at speed factor 1. */
internal class ServicePerformance(service: ServiceName, private val isEngine: Boolean) {
    /** Time of one token of each running request, or of one response of a plain service. */
    val token =
        ServiceCurve(
            "${service.value}/token",
            if (isEngine) TOKEN_UNIT_MILLIS else RESPONSE_UNIT_MILLIS,
            if (isEngine) LOW else MEDIAN,
        )

    /** Time to prefill one prompt token beside the running requests. */
    val prefill = ServiceCurve("${service.value}/prefill", 1 / PRIOR_PREFILL_TOKENS_PER_MILLI, LOW)

    /** Time for which a request holds its slot. */
    val run = ServiceCurve("${service.value}/run", RESPONSE_UNIT_MILLIS, MEDIAN)
    val mix = PromptMix()
    val curves: List<ServiceCurve> = listOf(token, prefill, run)

    /** Ratio by which prefill of other prompts lengthens the time of a token at most. */
    var maxRatio: Double = PRIOR_MAX_RATIO
        private set

    private val versionLogs = HashMap<VersionName, Double>()

    fun tokenMillis(occupancy: Double, tokensPerEvent: Int, nowMillis: Long): Double =
        token.millis(occupancy, nowMillis) ?: (PRIOR_FULL_BATCH_MILLIS * occupancy / tokensPerEvent)

    fun prefillMillis(occupancy: Double, nowMillis: Long): Double =
        prefill.millis(occupancy, nowMillis) ?: (1 / PRIOR_PREFILL_TOKENS_PER_MILLI)

    /** Time from the end of prefill to the first event. */
    fun firstEventMillis(server: ModelledServer, active: Int, nowMillis: Long): Double {
        val tokens = server.tokensPerEvent ?: 1
        val waiting = (active - server.slots + 1).coerceAtLeast(0)
        val waitMillis = if (waiting == 0) 0.0 else (run.millis(1.0, nowMillis) ?: 0.0) * waiting / server.slots
        return tokens * tokenMillis(server.occupancy(active), tokens, nowMillis) + waitMillis
    }

    /** The part of a plain response that is not a wait: the time of one on a server that is nearly idle. */
    fun unavoidableMillis(nowMillis: Long): Double = if (isEngine) 0.0 else token.millis(0.0, nowMillis) ?: 0.0

    fun newSamples(): SpeedSamples = if (isEngine) TokenSpeedSamples() else ResponseSpeedSamples()

    /** Binary logarithm of the speed factor of a server of [version] without evidence of its own. */
    fun priorLog2(version: VersionName): Double = versionLogs[version] ?: 0.0

    /** Replaces the priors of versions by the medians of [logsByVersion], the known speeds of their servers. */
    fun updatePriors(logsByVersion: Map<VersionName, List<Double>>) {
        versionLogs.clear()
        for ((version, logs) in logsByVersion) {
            if (logs.size >= MIN_SERVERS_FOR_PRIOR) versionLogs[version] = logs.sorted()[logs.size / 2]
        }
    }

    /**
     * Derives [maxRatio] from [ratios], those observed at the servers. It falls slowly only: a server that prefills all
     * the time shows no short token times, and hence no ratio.
     */
    fun updateRatio(ratios: List<Double>) {
        if (ratios.isEmpty()) return
        val high = ratios.sorted()[(ratios.size - 1) * HIGH_RATIO_PERCENT / PERCENT]
        maxRatio = maxOf(high, maxRatio * RATIO_DECAY).coerceIn(MIN_MAX_RATIO, MAX_MAX_RATIO)
    }

    /**
     * What [server] carries at [speedFactor]: at the highest utilisation at which the expected time to the first event
     * uses up no more than [TARGET_SHARE] of the targets. The rest is for what varies about the mean.
     */
    fun capacity(server: ModelledServer, speedFactor: Double, nowMillis: Long): ServerCapacity {
        val isKnown = (if (isEngine) prefill else token).millis(0.0, nowMillis) != null
        if (!isKnown || mix.size < MIN_REQUESTS_FOR_CAPACITY) return ServerCapacity.prior(server.slots, speedFactor)
        val limitMillis = mix.strictTargetMillis() * TARGET_SHARE
        val utilisation =
            UTILISATIONS.firstOrNull { expectedMillis(server, it, nowMillis) / speedFactor <= limitMillis }
                ?: UTILISATIONS.last()
        return ServerCapacity(
            MILLIS_PER_SECOND / prefillMillis(utilisation, nowMillis) * utilisation * speedFactor,
            server.slots * utilisation,
        )
    }

    /**
     * Expected time to the first event at [utilisation]. The wait is that of a queue with one server (Pollaczek and
     * Khinchine) for prefill, and with one for each slot (Sakasegawa's approximation) for a plain service.
     */
    private fun expectedMillis(server: ModelledServer, utilisation: Double, nowMillis: Long): Double {
        val tokens = server.tokensPerEvent ?: 1
        val eventMillis = tokens * tokenMillis(utilisation, tokens, nowMillis)
        val load = utilisation / (1 - utilisation)
        if (isEngine) return mix.residualTokens() * prefillMillis(utilisation, nowMillis) * (load + 1) + eventMillis
        return eventMillis * (1 + utilisation.pow(sqrt(2.0 * (server.slots + 1)) - 2) * load / server.slots)
    }

    private companion object {
        const val PRIOR_PREFILL_TOKENS_PER_MILLI = 80.0

        /** Time that a full batch of running requests adds to a first event at a server of unknown speed. */
        const val PRIOR_FULL_BATCH_MILLIS = 30.0

        /** Low, since other prompts that are prefilled meanwhile only add to what is observed. */
        const val LOW = 0.1
        const val MEDIAN = 0.5

        /** The ratio of a step with a whole chunk of prefill to one without. */
        const val PRIOR_MAX_RATIO = 4.0
        const val HIGH_RATIO_PERCENT = 90
        const val PERCENT = 100
        const val RATIO_DECAY = 0.99
        const val MIN_MAX_RATIO = 2.0
        const val MAX_MAX_RATIO = 10.0
        const val TOKEN_UNIT_MILLIS = 4.0
        const val RESPONSE_UNIT_MILLIS = 100.0
        const val MIN_SERVERS_FOR_PRIOR = 2
        const val MIN_REQUESTS_FOR_CAPACITY = 32
        const val TARGET_SHARE = 0.5
        const val MILLIS_PER_SECOND = 1_000.0

        /** Utilisations at which servers may be planned, the highest first. */
        val UTILISATIONS = listOf(0.85, 0.8, 0.75, 0.7, 0.65, 0.6, 0.55, 0.5, 0.45, 0.4)
    }
}
