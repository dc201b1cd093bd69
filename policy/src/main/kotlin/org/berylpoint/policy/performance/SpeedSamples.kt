package org.berylpoint.policy.performance

import kotlin.math.log2
import kotlin.math.pow

/** Speed of one server by what this instance observes there, as binary logarithms relative to the service. */
internal interface SpeedSamples {
    /** Whether anything was observed since [takeNews]. */
    val hasNews: Boolean

    /** Adds an observed speed; with prefill beside it, the actual one may be up to [maxRatio] times as high. */
    fun add(log2: Double, maxRatio: Double, nowMillis: Long)

    fun takeNews()

    /** The speed, or null if nothing was observed lately. */
    fun log2(nowMillis: Long): Double?

    fun count(nowMillis: Long): Int

    /** Ratio of long to short times at this server; null while there are too few, or where it means nothing. */
    fun ratio(nowMillis: Long): Double?
}

/** The median of the response times of a plain server. */
internal class ResponseSpeedSamples : SpeedSamples {
    private val samples = RecentSamples(WINDOW_MILLIS, CAPACITY)

    override val hasNews: Boolean get() = samples.hasNews

    override fun add(log2: Double, maxRatio: Double, nowMillis: Long) = samples.add(log2, nowMillis)

    override fun takeNews() = samples.takeNews()

    override fun log2(nowMillis: Long): Double? = samples.quantile(MEDIAN, nowMillis)

    override fun count(nowMillis: Long): Int = samples.count(nowMillis)

    override fun ratio(nowMillis: Long): Double? = null

    private companion object {
        const val WINDOW_MILLIS = 1_000L
        const val CAPACITY = 32
        const val MEDIAN = 0.5
    }
}

/**
 * The token times of an engine.
 *
 * Prefill of other prompts between two events lengthens a gap up to a known ratio, and nothing shortens it. So a high
 * quantile of some seconds is the speed, and gaps that are longer than prefill explains show at once that the server
 * has become slower: what was observed before is dropped then.
 */
internal class TokenSpeedSamples : SpeedSamples {
    private val samples = RecentSamples(WINDOW_MILLIS, CAPACITY)
    private var unexplained = 0
    private var known: Double? = null

    override val hasNews: Boolean get() = samples.hasNews

    override fun add(log2: Double, maxRatio: Double, nowMillis: Long) {
        val upper = log2 + log2(maxRatio)
        unexplained = if (upper + MARGIN_LOG2 < (known ?: upper)) unexplained + 1 else 0
        if (unexplained < MIN_UNEXPLAINED) {
            samples.add(log2, nowMillis)
        } else {
            samples.clear()
            unexplained = 0
            repeat(MIN_UNEXPLAINED) { samples.add(upper, nowMillis) }
        }
        known = samples.quantile(HIGH, nowMillis)
    }

    override fun takeNews() = samples.takeNews()

    override fun log2(nowMillis: Long): Double? = if (samples.count(nowMillis) == 0) null else known

    override fun count(nowMillis: Long): Int = samples.count(nowMillis)

    override fun ratio(nowMillis: Long): Double? {
        if (samples.count(nowMillis) < MIN_FOR_RATIO) return null
        val low = samples.quantile(1 - HIGH, nowMillis)
        return known?.let { high -> low?.let { 2.0.pow(high - it) } }
    }

    private companion object {
        /** Long enough that prefill pauses at some time within it, on a server that is not overloaded. */
        const val WINDOW_MILLIS = 3_000L
        const val CAPACITY = 64
        const val HIGH = 0.9

        /** Tolerance beyond what prefill explains. */
        const val MARGIN_LOG2 = 0.7

        /** More than one, since a single gap may contain a pause of the network. */
        const val MIN_UNEXPLAINED = 3
        const val MIN_FOR_RATIO = 24
    }
}
