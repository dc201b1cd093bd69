package org.berylpoint.policy.performance

import kotlin.math.pow

/**
 * What the instances have observed of one quantity, the newest value of each. The result is their weighted median, with
 * weights that halve every [halfLifeMillis], so that no single instance determines it and old values do not outweigh
 * new ones.
 */
internal class PooledEvidence(private val halfLifeMillis: Long) {
    private class Entry(val source: String, val log2: Double, val weight: Double, val atMillis: Long)

    /** Median of the logarithms, null if there never was a value, and the sum of the decayed weights. */
    class Result(val log2: Double?, val weight: Double)

    private val entries = ArrayList<Entry>(MAX_SOURCES)
    private var cached: Result? = null
    private var cachedAtMillis = LONG_AGO
    private var isOutdated = true

    var updatedAtMillis = LONG_AGO
        private set

    /** Replaces what [source] observed before. */
    fun put(source: String, log2: Double, weight: Int, nowMillis: Long) {
        if (!entries.removeIf { it.source == source } && entries.size == MAX_SOURCES) {
            entries.remove(entries.minBy { it.atMillis })
        }
        entries += Entry(source, log2, minOf(weight, MAX_WEIGHT).toDouble(), nowMillis)
        updatedAtMillis = nowMillis
        isOutdated = true
    }

    fun result(nowMillis: Long): Result {
        val age = nowMillis - cachedAtMillis
        val last = cached
        if (last != null && age <= if (isOutdated) MIN_REFRESH_MILLIS else MAX_REFRESH_MILLIS) return last
        return compute(nowMillis).also {
            cached = it
            cachedAtMillis = nowMillis
            isOutdated = false
        }
    }

    private fun compute(nowMillis: Long): Result {
        val weighted = entries.map {
            it.log2 to
                it.weight * 0.5.pow((nowMillis - it.atMillis) / halfLifeMillis.toDouble())
        }
            .filter { it.second > MIN_WEIGHT }
            .sortedBy { it.first }
        val total = weighted.sumOf { it.second }
        if (weighted.isEmpty()) return Result(entries.maxByOrNull { it.atMillis }?.log2, 0.0)
        var sum = 0.0
        val median = weighted.first { (_, weight) ->
            sum += weight
            sum * 2 >= total
        }
        return Result(median.first, total)
    }

    private companion object {
        /** Enough for a stable median; bounds memory and time where thousands of instances report. */
        const val MAX_SOURCES = 16

        /** Observations that count at most for one instance, so that a few busy ones do not determine the median. */
        const val MAX_WEIGHT = 8
        const val MIN_WEIGHT = 0.01
        const val LONG_AGO = Long.MIN_VALUE / 2

        /** A placement reads the value of every server, so it is computed again at most this often. */
        const val MIN_REFRESH_MILLIS = 20L

        /** Weights decay also while nothing new arrives. */
        const val MAX_REFRESH_MILLIS = 100L
    }
}
