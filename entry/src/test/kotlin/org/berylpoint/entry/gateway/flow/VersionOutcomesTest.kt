package org.berylpoint.entry.gateway.flow

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import org.berylpoint.model.VersionName
import org.berylpoint.model.serving.ServiceName
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.RoutePart

class VersionOutcomesTest :
    FunSpec({
        // Guards against failures on one route that the other instances do not learn of (EXPOSURE).
        test("reports show the outcomes of both versions on a route that fails, however many routes there are") {
            val outcomes = VersionOutcomes()
            for (route in 1..100) {
                for (version in listOf(
                    OLD,
                    NEW,
                )) {
                    outcomes.countOutcome(SERVICE, version, "r$route", AttemptOutcome.GOOD)
                }
            }
            outcomes.countOutcome(SERVICE, NEW, "r70", AttemptOutcome.ERROR_RESPONSE)
            val parts = outcomes.report().routeOutcomes
            parts shouldContain RoutePart("s", "v1", "r70", 1, 0)
            parts shouldContain RoutePart("s", "v2", "r70", 1, 1)
            parts.size shouldBeLessThanOrEqual 40
        }

        // Guards against reports that grow for nothing: without a second version there is nothing to compare.
        test("reports show no routes of a service with one version") {
            val outcomes = VersionOutcomes()
            outcomes.countOutcome(SERVICE, OLD, "r", AttemptOutcome.ERROR_RESPONSE)
            outcomes.report().routeOutcomes.shouldBeEmpty()
        }
    })

private val SERVICE = ServiceName("s")
private val OLD = VersionName("v1")
private val NEW = VersionName("v2")

private fun VersionOutcomes.report() = addTo(NodeReport("self", "a", 1, 1, 0))
