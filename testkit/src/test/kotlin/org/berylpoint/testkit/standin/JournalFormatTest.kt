package org.berylpoint.testkit.standin

import io.javalin.Javalin
import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempfile
import io.kotest.matchers.shouldBe
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.PolymorphicKind
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.Json
import org.berylpoint.model.BackendServer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.VersionName
import org.berylpoint.testkit.check.ClassOutcome
import org.berylpoint.testkit.check.Violation
import org.berylpoint.testkit.check.ViolationKind
import org.berylpoint.testkit.demo.StandInClient
import org.berylpoint.testkit.load.readCallers
import org.berylpoint.testkit.load.writeCallers
import java.net.URI

private fun samples(family: String): Map<String, String> =
    checkNotNull(JournalFormatTest::class.java.getResource("/formats/$family.txt")).readText().trim().lines()
        .associate { it.substringBefore(' ') to it.substringAfter(' ') }

@OptIn(ExperimentalSerializationApi::class)
private fun keys(key: String, type: KSerializer<*>): List<String> = when (type.descriptor.kind) {
    PolymorphicKind.SEALED -> type.descriptor.getElementDescriptor(1).elementNames.map { "$key:$it" }
    SerialKind.ENUM -> type.descriptor.elementNames.map { "$key:$it" }
    else -> listOf(key)
}

private fun <T> recode(type: KSerializer<T>, text: String) =
    Json.encodeToString(type, Json.decodeFromString(type, text))

/**
 * Guards against a changed serialized name, after which journals that were kept can't be read any more, and scripts
 * can't switch on faults of the stand-ins.
 *
 * A line of the samples is the serial name of an event, or a type with its subtype or constant after a colon, and what
 * was written with no property at its default. What stands there stays; new types and properties are added.
 */
class JournalFormatTest :
    FunSpec({
        val events = samples("journal")
        val control = samples("control")
        // The stand-ins only read faults and orders, and reports are only written, so no code does both.
        val types = mapOf(
            "fault" to ServerFault.serializer(),
            "order" to FaultOrder.serializer(),
            "overload" to OverloadBehaviour.serializer(),
            "violation" to Violation.serializer(),
            "violation-kind" to ViolationKind.serializer(),
            "outcome" to ClassOutcome.serializer(),
        )

        test("the events of a stand-in's journal are read and written as before") {
            val text = events.values.joinToString(",", "[", "]")
            val old = Javalin.create { it.routes.get("/control/journal") { ctx -> ctx.result(text) } }
                .start("127.0.0.1", 0)
            autoClose(AutoCloseable { old.stop() })
            val self = BackendServer(BackendServerId("s1"), FailureDomain("a"), "http://127.0.0.1")
            val new = autoClose(PlainServer(self, VersionName("v1"))).apply { start() }
            StandInClient().journal("http://127.0.0.1:${old.port()}").forEach(new.journal::add)
            URI("http://127.0.0.1:${new.controlPort}/control/journal").toURL().readText() shouldBe text
        }

        test("the lines of a callers' journal are read and written as before") {
            val lines = events.filterKeys { "CallerEvent" in it }.values.toList()
            val (old, new) = listOf(tempfile(), tempfile())
            old.writeText(lines.joinToString("\n"))
            readCallers(old).writeCallers(new)
            new.readLines() shouldBe lines
        }

        control.forEach { (key, text) ->
            test("$key is read and written as before") {
                recode(types.getValue(key.substringBefore(':')), text) shouldBe text
            }
        }

        test("every event, type, subtype and constant has a sample") {
            events.keys.map { "event:$it" }.toSet() shouldBe keys("event", JournalEvent.serializer()).toSet()
            control.keys shouldBe types.flatMap { (key, type) -> keys(key, type) }.toSet()
        }
    })
