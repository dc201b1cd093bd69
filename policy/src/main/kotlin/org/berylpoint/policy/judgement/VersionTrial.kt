package org.berylpoint.policy.judgement

import org.berylpoint.model.FailureDomain
import kotlin.random.Random

/** Result of comparing a new version with the old one on the evidence so far. */
public sealed interface Finding {
    /** Too little evidence for either of the other findings. */
    public data object Inconclusive : Finding

    /** The new version is not worse by the margin, neither overall nor on any route with enough of the traffic. */
    public data object NotWorse : Finding

    /** The new version is worse than the old one; [route] is null unless the evidence points to a single route. */
    public data class Worse(val route: String?) : Finding
}

/** Outcomes of both versions in one stratum since they were last added to a comparison. */
public data class StratumOutcomes(val new: Outcomes, val old: Outcomes)

/**
 * Compares a new version with the old one by pairing their outcomes on the same route and link.
 *
 * The pairing attributes faults: a fault of a link affects both versions and cancels out, a fault of the new version
 * does not. Tests run over all routes together and for each route, because a fault on one route would be hidden by the
 * outcomes of the others. The overall test has half of the false alarm rate, the routes share the other half. At most
 * [maxRoutes] - 1 routes have tests of their own; all further routes share one set of tests.
 */
public class VersionTrial(private val rates: ErrorRates, private val random: Random, private val maxRoutes: Int = 8) {
    private class ComparisonTests(falseAlarmRate: Double, missRate: Double, margin: Double) {
        val alarm = SequentialSignTest(falseAlarmRate, missRate)
        val acceptance = SequentialNonInferiorityTest(missRate, margin)
        var oldTotal = 0L
    }

    private val pairers = mutableMapOf<Stratum, OutcomePairer>()
    private val overall = ComparisonTests(rates.falseAlarmRate / 2, rates.missRate, rates.margin)
    private val routes = mutableMapOf<String, ComparisonTests>()

    /** Numbers of pairs compared so far. */
    public var pairs: PairCounts = PairCounts.NONE
        private set

    /** Outcomes of the new version so far, paired or not. */
    public var newOutcomes: Outcomes = Outcomes.NONE
        private set

    /** Whether the evidence so far is clearly against the new version, even if too weak for [Finding.Worse]. */
    public val isLikelyWorse: Boolean
        get() = overall.alarm.logRatio > LIKELY_WORSE_LOG_RATIO ||
            routes.values.any { it.alarm.logRatio > ROUTE_LIKELY_WORSE_LOG_RATIO }

    /**
     * Adds the [outcomes] since the previous call and returns the finding on all evidence so far. [mayAccept] is false
     * while the new version's servers may still be cold: bad outcomes then count against the version, but none of the
     * outcomes counts towards accepting it.
     */
    public fun add(outcomes: Map<Stratum, StratumOutcomes>, nowMillis: Long, mayAccept: Boolean = true): Finding {
        for ((stratum, both) in outcomes) {
            newOutcomes += both.new
            val paired = pairers.getOrPut(stratum) { OutcomePairer(random) }.add(both.new, both.old, nowMillis)
            pairs += paired
            val route = testsOf(stratum.route)
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
        overall.alarm.isAlarm || routes.values.any { it.alarm.isAlarm } -> Finding.Worse(suspectRoute())
        overall.acceptance.isAccepted && routesWithEnoughTraffic().all { it.acceptance.isAccepted } -> Finding.NotWorse
        else -> Finding.Inconclusive
    }

    /** The only route with evidence against the version, or null if there are none, several, or no other routes. */
    private fun suspectRoute(): String? {
        val suspects = routes.filterValues { it.alarm.isAlarm || it.alarm.logRatio > SUSPECT_ROUTE_LOG_RATIO }
        return suspects.keys.singleOrNull()?.takeIf { routes.size > 1 }
    }

    private fun routesWithEnoughTraffic() =
        routes.values.filter { it.oldTotal >= MIN_ROUTE_TRAFFIC_SHARE * overall.oldTotal }

    // Routes beyond the limit share one set of tests, so that the error rates hold however many paths callers request.
    private fun testsOf(route: String): ComparisonTests {
        val name = if (route in routes || routes.size < maxRoutes - 1) route else OTHER_ROUTES
        return routes.getOrPut(name) {
            ComparisonTests(rates.falseAlarmRate / 2 / maxRoutes, rates.missRate, rates.routeMargin)
        }
    }

    private companion object {
        // A likelihood ratio of 20, far below the one that raises an alarm.
        const val SUSPECT_ROUTE_LOG_RATIO = 3.0

        // Likelihood ratios of 20 overall and of 160 for one of eight routes: a version that is no worse ever reaches
        // either bound with a probability of 5%.
        const val LIKELY_WORSE_LOG_RATIO = 3.0
        const val ROUTE_LIKELY_WORSE_LOG_RATIO = 5.1

        // Share of the old version's outcomes from which a route must pass the acceptance test too.
        const val MIN_ROUTE_TRAFFIC_SHARE = 0.05
        const val OTHER_ROUTES = "*"
    }
}

/**
 * Detects links on which the old version has more bad outcomes than on its other links; the fault is then attributed to
 * the link.
 *
 * The test is the one that compares versions, with the outcomes on one link in place of the new version's and the
 * outcomes on all other links in place of the old version's.
 */
public class FaultyLinkDetector(private val rates: ErrorRates, private val random: Random) {
    private class LinkState(rates: ErrorRates, random: Random) {
        val pairer = OutcomePairer(random)
        val alarm = SequentialSignTest(rates.falseAlarmRate, rates.missRate)
    }

    private val links = mutableMapOf<Pair<FailureDomain, FailureDomain>, LinkState>()

    /** Adds the old version's outcomes since the previous call and returns the links found faulty so far. */
    public fun add(oldOutcomes: Map<Stratum, Outcomes>, nowMillis: Long): Set<Pair<FailureDomain, FailureDomain>> {
        val byLink = oldOutcomes.entries.groupBy({ it.key.link }, { it.value })
            .mapValues { (_, its) -> its.fold(Outcomes.NONE, Outcomes::plus) }
        for ((link, outcomes) in byLink) {
            val others = byLink.filterKeys { it != link }.values.fold(Outcomes.NONE, Outcomes::plus)
            val state = links.getOrPut(link) { LinkState(rates, random) }
            val paired = state.pairer.add(outcomes, others, nowMillis)
            state.alarm.add(paired.onlyNewBad, paired.onlyOldBad)
        }
        return links.filterValues { it.alarm.isAlarm }.keys
    }
}
