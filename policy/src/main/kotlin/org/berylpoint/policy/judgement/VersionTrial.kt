package org.berylpoint.policy.judgement

import org.berylpoint.model.FailureDomain
import kotlin.random.Random

/** What a trial has found so far. */
public sealed interface Finding {
    /** Too little evidence either way. */
    public data object Inconclusive : Finding

    /** The new version is not worse by the margin on any route that carries a fair part of the traffic. */
    public data object NotWorse : Finding

    /** The new version is worse than the old one: on [route], or over all routes when it is null. */
    public data class Worse(val route: String?) : Finding
}

/** Outcomes of both versions in one stratum since the last look. */
public data class StratumOutcomes(val new: Outcomes, val old: Outcomes)

/**
 * Compares a new version with the old one by paired outcomes on the same routes and links.
 *
 * Attribution follows from the pairing: a fault of a link shows with both versions and cancels, a fault of the version
 * does not. One test runs over all routes and one on each route, since a fault on one route would drown among the
 * others; they share the false alarm rate.
 */
public class VersionTrial(private val rates: ErrorRates, private val random: Random, private val maxRoutes: Int = 8) {
    private class RouteTests(falseAlarmRate: Double, missRate: Double, margin: Double) {
        val alarm = SequentialSignTest(falseAlarmRate, missRate)
        val acceptance = SequentialNonInferiorityTest(missRate, margin)
        var oldTotal = 0L
    }

    private val strata = mutableMapOf<Stratum, OutcomePairer>()
    private val overall = RouteTests(rates.falseAlarmRate / 2, rates.missRate, rates.margin)
    private val routes = mutableMapOf<String, RouteTests>()

    /** PairCounts compared so far. */
    public var pairs: PairCounts = PairCounts.NONE
        private set

    /** Outcomes of the new version so far, paired or not. */
    public var seen: Outcomes = Outcomes.NONE
        private set

    /** Whether the evidence so far speaks against the new version, though not enough to call it bad. */
    public val isLikelyWorse: Boolean
        get() = overall.alarm.logRatio > LEAN_LOG_RATIO ||
            routes.values.any { it.alarm.logRatio > ROUTE_LEAN_LOG_RATIO }

    /**
     * Takes in the outcomes since the last look. [mayAccept] is false while the new version's servers may still be cold:
     * its faults count at once, but it can't be accepted on that evidence.
     */
    public fun add(outcomes: Map<Stratum, StratumOutcomes>, nowMillis: Long, mayAccept: Boolean = true): Finding {
        for ((stratum, both) in outcomes) {
            seen += both.new
            val paired = strata.getOrPut(stratum) { OutcomePairer(random) }.add(both.new, both.old, nowMillis)
            pairs += paired
            val route = routeTests(stratum.route)
            overall.oldTotal += both.old.total
            route.oldTotal += both.old.total
            for (tests in listOf(overall, route)) {
                tests.alarm.add(paired.onlyNewBad, paired.onlyOldBad)
                if (mayAccept) tests.acceptance.add(paired.onlyNewBad, paired.onlyOldBad, paired.concordant)
            }
        }
        return finding()
    }

    /** The finding on all evidence so far. */
    public fun finding(): Finding = when {
        overall.alarm.isAlarm || routes.values.any { it.alarm.isAlarm } -> Finding.Worse(badRoute())
        overall.acceptance.isAccepted && fairRoutes().all { it.acceptance.isAccepted } -> Finding.NotWorse
        else -> Finding.Inconclusive
    }

    /** The route that the evidence points to while it speaks for the version on the others. */
    private fun badRoute(): String? {
        val suspects = routes.filterValues { it.alarm.isAlarm || it.alarm.logRatio > ROUTE_LOG_RATIO }
        return suspects.keys.singleOrNull()?.takeIf { routes.size > 1 }
    }

    private fun fairRoutes() = routes.values.filter { it.oldTotal >= FAIR_ROUTE_SHARE * overall.oldTotal }

    // Routes beyond the limit share one pair of tests, so that the rates hold whatever callers send.
    private fun routeTests(route: String): RouteTests {
        val name = if (route in routes || routes.size < maxRoutes - 1) route else OTHER_ROUTES
        return routes.getOrPut(name) { RouteTests(rates.falseAlarmRate / 2 / maxRoutes, rates.missRate, rates.routeMargin) }
    }

    private companion object {
        // A likelihood ratio of 20; the alarm itself needs far more.
        const val ROUTE_LOG_RATIO = 3.0

        // Likelihood ratios of 20 and 160, for one of eight routes: a sound version ever gets there with 5% each.
        const val LEAN_LOG_RATIO = 3.0
        const val ROUTE_LEAN_LOG_RATIO = 5.1
        const val FAIR_ROUTE_SHARE = 0.05
        const val OTHER_ROUTES = "*"
    }
}

/**
 * Finds links on which the old version is worse than on its other links; such a fault is the link's.
 *
 * The same test as for versions, with the outcomes on one link in the place of the new version's.
 */
public class FaultyLinkDetector(private val rates: ErrorRates, private val random: Random) {
    private class Link(rates: ErrorRates, random: Random) {
        val pairs = OutcomePairer(random)
        val alarm = SequentialSignTest(rates.falseAlarmRate, rates.missRate)
    }

    private val links = mutableMapOf<Pair<FailureDomain, FailureDomain>, Link>()

    /** Takes in the old version's outcomes since the last look; gives the links found faulty so far. */
    public fun add(old: Map<Stratum, Outcomes>, nowMillis: Long): Set<Pair<FailureDomain, FailureDomain>> {
        val byLink = old.entries.groupBy({ it.key.link }, { it.value })
            .mapValues { (_, its) -> its.fold(Outcomes.NONE, Outcomes::plus) }
        for ((link, outcomes) in byLink) {
            val others = byLink.filterKeys { it != link }.values.fold(Outcomes.NONE, Outcomes::plus)
            val state = links.getOrPut(link) { Link(rates, random) }
            val paired = state.pairs.add(outcomes, others, nowMillis)
            state.alarm.add(paired.onlyNewBad, paired.onlyOldBad)
        }
        return links.filterValues { it.alarm.isAlarm }.keys
    }
}
