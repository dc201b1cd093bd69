package org.berylpoint.entry.gateway.flow

import org.berylpoint.model.VersionName
import org.berylpoint.model.serving.ServiceName
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.RoutePart
import org.berylpoint.peer.VersionPart
import org.berylpoint.policy.rollout.ResponseTimes

/**
 * What this process has seen of each version of a service, for rollouts: outcomes of attempts, and response times. A
 * time is compared with those of the same route, since routes differ by what they ask.
 */
public class VersionOutcomes {
    private class Sums(
        var good: Long = 0,
        var bad: Long = 0,
        var errors: Long = 0,
        var timed: Long = 0,
        var slow: Long = 0,
    )

    private class RouteSums(var good: Long = 0, var bad: Long = 0)

    private data class RouteKey(val service: ServiceName, val version: VersionName, val route: String)

    private enum class Measure { FIRST_EVENT, EVENT_GAP }

    private data class Kind(val service: ServiceName, val route: String, val measure: Measure)

    private val sums = HashMap<Pair<ServiceName, VersionName>, Sums>()
    private val routeSums = LinkedHashMap<RouteKey, RouteSums>()
    private val times = LinkedHashMap<Kind, ResponseTimes>()

    /** Counts the [outcome] of an attempt at a server of [version] for a request of [route]. */
    @Synchronized
    public fun countOutcome(service: ServiceName, version: VersionName, route: String, outcome: AttemptOutcome) {
        val isGood = outcome == AttemptOutcome.GOOD
        val sum = sumsOf(service, version)
        if (isGood) sum.good++ else sum.bad++
        if (outcome == AttemptOutcome.ERROR_RESPONSE) sum.errors++
        val ofRoute = routeSums.getOrPut(RouteKey(service, version, route)) { RouteSums() }
        if (isGood) ofRoute.good++ else ofRoute.bad++
        if (routeSums.size > MAX_KINDS) routeSums.remove(routeSums.keys.first())
    }

    /** Records the time from the sending of a request to the first event of its response. */
    @Synchronized
    public fun recordFirstEvent(service: ServiceName, version: VersionName, route: String, millis: Double): Unit =
        record(version, Kind(service, route, Measure.FIRST_EVENT), millis)

    /** Records the mean time between the events of a stream. */
    @Synchronized
    public fun recordEventGap(service: ServiceName, version: VersionName, route: String, millis: Double): Unit =
        record(version, Kind(service, route, Measure.EVENT_GAP), millis)

    /** Returns [report] with the sums of this process. */
    @Synchronized
    public fun addTo(report: NodeReport): NodeReport = report.copy(
        outcomes = sums.map { (key, sum) ->
            VersionPart(key.first.value, key.second.value, sum.good, sum.bad, sum.timed, sum.slow, sum.errors)
        },
        routeOutcomes = routeOutcomes(),
    )

    /** The outcomes on the routes with most bad ones, of services that several versions have served. */
    private fun routeOutcomes(): List<RoutePart> {
        val services = sums.keys.groupingBy { it.first }.eachCount().filterValues { it > 1 }.keys
        val ofServices = routeSums.entries.filter { it.key.service in services }
        val routes = ofServices.groupBy { it.key.service to it.key.route }.values
            .sortedByDescending { versions -> versions.sumOf { it.value.bad } }
        return routes.take(MAX_REPORTED_ROUTES).flatten().map { (key, sum) ->
            RoutePart(key.service.value, key.version.value, key.route, sum.good, sum.bad)
        }
    }

    private fun record(version: VersionName, kind: Kind, millis: Double) {
        val isSlow = times.getOrPut(kind) { ResponseTimes() }.add(millis)
        if (times.size > MAX_KINDS) times.remove(times.keys.first())
        if (isSlow == null) return
        val sum = sumsOf(kind.service, version)
        sum.timed++
        if (isSlow) sum.slow++
    }

    private fun sumsOf(service: ServiceName, version: VersionName) = sums.getOrPut(service to version) { Sums() }

    private companion object {
        /** Routes come and go with configurations. */
        const val MAX_KINDS = 400

        /** Keeps a report within one datagram. */
        const val MAX_REPORTED_ROUTES = 20
    }
}
