package org.berylpoint.policy.rollout

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/** What evidence says of a new version. */
public enum class VersionVerdict {
    /** Nothing speaks against it. */
    SOUND,

    /** It seems worse than the old one, but may be so by chance. */
    SUSPECT,
    WORSE,
}

/**
 * Compares a new version with the old one: rates of bad outcomes, on all routes together or on one of them, and of slow
 * responses.
 *
 * How clear a difference has to be follows from the old version's own rate and from the number of outcomes. What makes
 * both versions fail, such as an overload, raises the rate of the old one in the same time. Error responses are
 * compared among the complete responses, too: responses of both versions that are lost would hide them.
 */
public object VersionComparison {
    /** The verdict on [whole], all evidence of a rollout, and on the newest parts of it, the latest first. */
    public fun verdict(whole: ComparedVersions, recent: List<ComparedVersions>): VersionVerdict = when {
        isWorse(whole) || recent.any { isClearlyWorse(it, whole.old) } -> VersionVerdict.WORSE
        isSuspect(whole) || recent.any { isDoubtful(it, whole.old) } -> VersionVerdict.SUSPECT
        else -> VersionVerdict.SOUND
    }

    private fun isWorse(whole: ComparedVersions): Boolean {
        val (new, old) = whole
        return isWorse(new.outcomes, old.outcomes) ||
            isSlower(new.timings, old.timings, MIN_STANDARD_ERRORS) ||
            new.routes.any { (route, counts) -> isRouteWorse(counts, old.routes[route] ?: NO_OUTCOMES) } ||
            isUnlikely(new.outcomes, rateOf(old.outcomes), WORSE_CHANCE, MIN_BAD_OUTCOMES) ||
            isUnlikely(new.responses, rateOf(old.responses), WORSE_CHANCE, MIN_BAD_OUTCOMES)
    }

    private fun isClearlyWorse(recent: ComparedVersions, oldWhole: VersionEvidence): Boolean {
        val (new, old) = recent
        return isUnlikely(new.outcomes, rateOf(old.outcomes, oldWhole.outcomes), WORSE_CHANCE, MIN_BAD_OUTCOMES) ||
            isUnlikely(new.responses, rateOf(old.responses, oldWhole.responses), WORSE_CHANCE, MIN_BAD_OUTCOMES) ||
            isSlower(new.timings, old.timings, MIN_STANDARD_ERRORS_RECENT) ||
            new.routes.any { (route, counts) ->
                isUnlikely(counts, rateOf(old.routes[route] ?: NO_OUTCOMES), WORSE_CHANCE, MIN_BAD_OUTCOMES)
            }
    }

    private fun isDoubtful(recent: ComparedVersions, oldWhole: VersionEvidence): Boolean =
        isDoubtful(recent.new.outcomes, recent.old.outcomes, oldWhole.outcomes) ||
            isDoubtful(recent.new.responses, recent.old.responses, oldWhole.responses)

    private fun isDoubtful(new: VersionCounts, old: VersionCounts, oldWhole: VersionCounts) =
        isUnlikely(new, maxOf(rateOf(oldWhole), rateOf(old, oldWhole)), SUSPECT_CHANCE, minBad = 1)

    private fun isSuspect(whole: ComparedVersions): Boolean {
        val (new, old) = whole
        return isPossiblySlower(new.timings, old.timings) ||
            new.routes.any { (route, counts) -> isRoutePossiblyWorse(counts, old.routes[route] ?: NO_OUTCOMES) }
    }

    /**
     * Whether at least [minBad] outcomes of [new] are bad and so many would have a probability below [chance] if each
     * was bad with the probability [rate].
     */
    private fun isUnlikely(new: VersionCounts, rate: Double, chance: Double, minBad: Long): Boolean {
        if (new.bad < minBad) return false
        return new.badRate > rate && tail(new.bad, new.total, rate) < chance
    }

    /** The rule of succession: a rate of zero is not known to be zero. */
    private fun rateOf(counts: VersionCounts) = (counts.bad + 1.0) / (counts.total + 2.0)

    /** The rate of [recent] outcomes, towards that of [whole] the fewer there are: in a handover, there are none. */
    private fun rateOf(recent: VersionCounts, whole: VersionCounts) =
        (recent.bad + rateOf(whole) * PRIOR_OUTCOMES) / (recent.total + PRIOR_OUTCOMES)

    /** Probability that at least [hits] of [total] happen if each does with the probability [rate]. */
    private fun tail(hits: Long, total: Long, rate: Double): Double {
        var logTerm = 0.0
        for (i in 1..hits) logTerm += ln((total - hits + i).toDouble() / i)
        logTerm += hits * ln(rate) + (total - hits) * ln(1 - rate)
        var term = exp(logTerm)
        var sum = 0.0
        for (k in hits..total) {
            sum += term
            if (term < sum * NEGLIGIBLE) break
            term *= (total - k).toDouble() / (k + 1) * rate / (1 - rate)
        }
        return sum
    }

    private fun isWorse(new: VersionCounts, old: VersionCounts): Boolean =
        new.badRate > old.badRate * BAD_RATE_FACTOR + BAD_RATE_MARGIN &&
            isUnlikely(new, rateOf(old), LARGE_DIFFERENCE_CHANCE, MIN_BAD_OUTCOMES)

    /** Like [isWorse] for one route, of which fewer outcomes are known: the difference must be clear besides. */
    private fun isRouteWorse(new: VersionCounts, old: VersionCounts): Boolean {
        if (new.bad < MIN_BAD_OUTCOMES) return false
        val error = standardError(new.bad, new.total, old.bad, old.total)
        return new.badRate - old.badRate > BAD_RATE_MARGIN + MIN_STANDARD_ERRORS * error
    }

    private fun isRoutePossiblyWorse(new: VersionCounts, old: VersionCounts): Boolean {
        if (new.bad < MIN_SUSPECT_OUTCOMES || new.total >= MAX_UNSURE_OUTCOMES) return false
        return new.badRate - old.badRate > BAD_RATE_MARGIN
    }

    private fun isSlower(new: TimingCounts, old: TimingCounts, minStandardErrors: Double): Boolean {
        if (new.timed < MIN_TIMED || old.timed < MIN_TIMED) return false
        val error = standardError(new.slow, new.timed, old.slow, old.timed)
        return new.slowRate - old.slowRate > SLOW_RATE_MARGIN + minStandardErrors * error
    }

    private fun isPossiblySlower(new: TimingCounts, old: TimingCounts): Boolean =
        new.timed < MAX_UNSURE_TIMED && new.slowRate - old.slowRate > SLOW_RATE_MARGIN

    /** Standard error of the difference of two rates, if there is none: [hits] of [total] and those of the other. */
    private fun standardError(hits: Long, total: Long, otherHits: Long, otherTotal: Long): Double {
        val rate = (hits + otherHits).toDouble() / (total + otherTotal)
        return sqrt(rate * (1 - rate) * (1.0 / total + 1.0 / maxOf(otherTotal, 1)))
    }

    /** Probabilities of a chance result, for evidence that is looked at several times a second. */
    private const val WORSE_CHANCE = 1e-6
    private const val SUSPECT_CHANCE = 0.02

    /** The same for a difference that would hurt many callers. */
    private const val LARGE_DIFFERENCE_CHANCE = 1e-4
    private const val NEGLIGIBLE = 1e-9

    /** Recent outcomes that weigh as much as the rate before. */
    private const val PRIOR_OUTCOMES = 20.0

    private const val MIN_BAD_OUTCOMES = 5L
    private const val BAD_RATE_FACTOR = 1.5
    private const val BAD_RATE_MARGIN = 0.08
    private val NO_OUTCOMES = VersionCounts(0, 0)

    /** Bad outcomes on a route from which on the version is suspect. */
    private const val MIN_SUSPECT_OUTCOMES = 3L

    /** Outcomes on a route after which a difference that is not clear is taken for chance. */
    private const val MAX_UNSURE_OUTCOMES = 200L

    private const val MIN_TIMED = 10L

    /** Difference of the rates of slow responses that is tolerated, since new servers may be slow at first. */
    private const val SLOW_RATE_MARGIN = 0.1
    private const val MIN_STANDARD_ERRORS = 2.5

    /** The newest evidence is looked at more often than there is new one. */
    private const val MIN_STANDARD_ERRORS_RECENT = 3.5

    /** Timed responses after which a difference that is not clear is taken for chance. */
    private const val MAX_UNSURE_TIMED = 200L
}
