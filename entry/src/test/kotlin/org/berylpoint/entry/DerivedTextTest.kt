package org.berylpoint.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.berylpoint.entry.gateway.flow.AttemptEnd
import org.berylpoint.entry.gateway.server.SendObstacle
import org.berylpoint.entry.http.toJson
import org.berylpoint.entry.member.Member
import org.berylpoint.entry.settings.SettingKeys
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.Problem
import org.berylpoint.model.RequestId
import org.berylpoint.policy.rollout.VersionCounts

/**
 * Guards against a change of texts that are derived from identifiers and leave the process, after which dashboards,
 * alerts, callers and settings files no longer match them.
 */
class DerivedTextTest :
    FunSpec({
        test("label values of berylpoint_attempt_failures_total") {
            val ends = listOf(
                AttemptEnd.Complete(200, emptyList(), ByteArray(0)),
                AttemptEnd.Error(500, emptyList(), ByteArray(0)),
                AttemptEnd.NotRun(true, ""),
                AttemptEnd.Interrupted(true, false, ""),
                AttemptEnd.Stalled(""),
                AttemptEnd.Withheld(SendObstacle.SERVER_NOT_USABLE),
                AttemptEnd.TimedOut(true),
                AttemptEnd.CallerDisconnected,
            )
            ends.map { it.metricLabel }.toSet() shouldBe
                setOf("Complete", "Error", "NotRun", "Broke", "TimedOut", "CallerLeft", "Withheld")
            ends.map { it.javaClass }.toSet() shouldBe AttemptEnd::class.java.permittedSubclasses.toSet()
        }

        test("the kind in a problem") {
            ErrorKind.entries.joinToString(" ") { kind ->
                val body = Json.parseToJsonElement(Problem(kind, "").toJson(RequestId(""))).jsonObject
                body.getValue("kind").jsonPrimitive.content
            } shouldBe "MalformedRequest KeyRequired Unauthenticated UnknownClass VersionConflict TooLarge KeyReused " +
                "InvalidCatalogue Quarantined Overloaded CapExceeded NoCapacity NoBackend StoreUnavailable " +
                "ShuttingDown NotReady OutcomeUnknown BackendFailed DeadlineExceeded Internal"
        }

        test("the states of members in a dump, and the words for format and level of the log in the settings") {
            Member.State.entries.map { it.name } shouldBe listOf("ALIVE", "SUSPECT")
            SettingKeys.logFormat.type.description shouldBe "one of text, json"
            SettingKeys.logLevel.type.description shouldBe "one of trace, debug, info, warn, error"
        }

        test("the outcomes of a version in log lines") {
            "${VersionCounts(17, 3)}" shouldBe "VersionCounts(good=17, bad=3)"
        }
    })
