package org.berylpoint.model

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.PolymorphicKind
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.Json
import org.berylpoint.model.serving.RolloutState

private val samples =
    checkNotNull(ModelFormatTest::class.java.getResource("/formats/model.txt")).readText().trim().lines()
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
 * Guards against a changed serialized name, after which an old and a new process can't read each other's messages and
 * a new process can't read what an old one has stored.
 *
 * A line of the samples is a type, with its subtype or constant after a colon, and what was written with no property
 * at its default. What stands there stays; new types and properties are added.
 */
class ModelFormatTest :
    FunSpec({
        val types = mapOf(
            "catalogue" to Catalogue.serializer(),
            "change" to CatalogueChange.serializer(),
            "update" to CatalogueUpdate.serializer(),
            "fault" to CatalogueFault.serializer(),
            "problem" to Problem.serializer(),
            "status-report" to StatusReport.serializer(),
            "move-report" to MoveReport.serializer(),
            "accepted-version" to AcceptedVersion.serializer(),
            "instance" to Instance.serializer(),
            "error-kind" to ErrorKind.serializer(),
            "run-state" to RunState.serializer(),
            "service-kind" to ServiceKind.serializer(),
            "move-state" to VersionMove.State.serializer(),
        )

        samples.forEach { (key, text) ->
            test("$key is read and written as before") {
                recode(types.getValue(key.substringBefore(':')), text) shouldBe text
            }
        }

        test("every type, subtype and constant has a sample") {
            samples.keys shouldBe types.flatMap { (key, type) -> keys(key, type) }.toSet()
        }

        test("names of constants that reach answers, dumps, logs, metrics and settings") {
            listOf(ErrorKind.entries, RunState.entries, ServiceKind.entries, VersionMove.State.entries).flatten()
                .map { it.name } shouldBe
                samples.keys.filter { ':' in it && !it.startsWith("change:") }.map { it.substringAfter(':') }
            RolloutState.entries.map { it.name } shouldBe listOf("RUNNING", "COMPLETED", "ROLLED_BACK")
        }
    })
