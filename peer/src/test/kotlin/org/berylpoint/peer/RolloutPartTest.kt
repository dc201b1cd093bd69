@file:OptIn(ExperimentalSerializationApi::class)

package org.berylpoint.peer

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborLabel

class RolloutPartTest :
    FunSpec({
        val part =
            RolloutPart("s", 7, 1, 900, 45, true, plan = RolloutPlanPart(50, 4_000, 3_000), barred = listOf("v0"))
        val report =
            NodeReport(
                "x",
                "a",
                1,
                2,
                3,
                outcomes = listOf(VersionPart("s", "v2", 5, 3, errors = 2)),
                rollouts = listOf(part),
            )

        test("a report keeps what it tells of rollouts, packed or not") {
            NodeReportCodec.decode(NodeReportCodec.encode(report)).rollouts shouldBe listOf(part)
            NodeReportCodec.decode(NodeReportCodec.encode(report.pack())).rollouts shouldBe listOf(part)
            NodeReportCodec.decode(NodeReportCodec.encode(report.boundedTo(1_200, 1))).rollouts shouldBe listOf(part)
        }

        // Guards against instances of two builds that don't read each other's reports.
        test("a build without the field reads the rest of the report, and its reports are read") {
            val cbor = Cbor {
                ignoreUnknownKeys = true
                encodeDefaults = false
                preferCborLabelsOverNames = true
                encodeKeyTags = false
            }
            val read = cbor.decodeFromByteArray(ReportBefore.serializer(), NodeReportCodec.encode(report))
            read shouldBe ReportBefore("x", "a", 1, 2, 3, listOf(VersionPartBefore("s", "v2", 5, 3)))
            val sent = NodeReportCodec.decode(cbor.encodeToByteArray(ReportBefore.serializer(), read))
            sent shouldBe report.copy(outcomes = listOf(VersionPart("s", "v2", 5, 3)), rollouts = emptyList())
        }
    })

/** The report of a build that knows nothing of rollouts, with the fields that the test has in it. */
@Serializable
private data class ReportBefore(
    @CborLabel(1) val name: String,
    @CborLabel(2) val domain: String,
    @CborLabel(3) val startedAtMillis: Long,
    @CborLabel(4) val sequence: Long,
    @CborLabel(5) val wallMillis: Long,
    @CborLabel(10) val outcomes: List<VersionPartBefore> = emptyList(),
)

/** The outcomes of a build that doesn't count error responses apart. */
@Serializable
private data class VersionPartBefore(
    @CborLabel(1) val service: String,
    @CborLabel(2) val version: String,
    @CborLabel(3) val good: Long,
    @CborLabel(4) val bad: Long,
    @CborLabel(5) val timed: Long = 0,
    @CborLabel(6) val slow: Long = 0,
)
