package org.berylpoint.entry.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import org.berylpoint.policy.quota.CapTolerance
import java.io.File
import kotlin.io.path.createTempFile

class GatewaySettingsTest :
    FunSpec({
        test("the platform's settings template contains only known keys") {
            val template = File("../platform/entry.ini").readText()
            val values = mapOf(
                "id" to "node-1",
                "failure-domain" to "a",
                "caller-address" to "10.0.0.1:80",
                "ready-address" to "10.0.0.1:81",
                "report-address" to "10.0.0.1:82",
                "metrics-address" to "10.0.0.1:83",
                "store-address" to "10.0.0.2:80",
                "cloud-address" to "10.0.0.3:80",
                "first-start" to "true",
            )
            val filled = template.lines().joinToString("\n") { line ->
                val key = line.substringBefore(" = ")
                if (" = " in line) "$key = ${values[key] ?: "1"}" else line
            }
            val settings = read(filled).getOrNull()
            settings?.instance shouldBe "node-1"
            settings?.bounds?.leaseMillis shouldBe 1
            settings?.isFirstStart shouldBe true
        }

        test("bad input: all faults are reported together with their lines") {
            val faults = read("[instance]\nid = A B\nfailure-domain = a\nodd = 1\n[platform]\nstore-address = here\n")
                .leftOrNull().orEmpty()
            faults.map { it.key to it.line } shouldContainExactlyInAnyOrder listOf(
                "[instance] id" to 2,
                "[instance] odd" to 4,
                "[platform] store-address" to 6,
                "[instance] caller-address" to 0,
                "[instance] ready-address" to 0,
                "[instance] report-address" to 0,
                "[instance] metrics-address" to 0,
            )
        }

        // Guards against a view that counts as old by another deployment's bounds: these come by the command line.
        test("the shorter of two bounds holds for all changes, and the command line goes before the file") {
            val bounds = GatewayBounds(3_000, 5_000, 10_000, 0.2, 50.0, 10_000, CapTolerance(8_000, 0.0, 0.0))
            bounds.changeMillis shouldBe GatewayBounds.DEFAULT_CHANGE_MILLIS
            bounds.withChangeBounds(drainMillis = 4_000, configMillis = 3_000).changeMillis shouldBe 3_000
            bounds.copy(drainMillis = 1_500).withChangeBounds(null, 3_000).changeMillis shouldBe 1_500
        }

        test("bounds may be fractions") {
            val base = """
            [instance]
            id = n
            failure-domain = a
            caller-address = 10.0.0.1:80
            ready-address = 10.0.0.1:81
            report-address = 10.0.0.1:82
            metrics-address = 10.0.0.1:83
            [platform]
            store-address = 10.0.0.2:80
            """.trimIndent() + "\n"
            read(base + "[bounds]\nusage-window-seconds = 2.5\n").getOrNull()?.bounds?.usageWindowMillis shouldBe 2_500
        }

        test("bad input: a byte order mark is skipped") {
            read("\uFEFF[instance]\nid = A B\n").leftOrNull().orEmpty().any { it.key == "[instance] id" } shouldBe true
        }
    })

private fun read(text: String) = GatewaySettings.read(
    createTempFile().toFile().apply {
        deleteOnExit()
        writeText(text)
    },
)
