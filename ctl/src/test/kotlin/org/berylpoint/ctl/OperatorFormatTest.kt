package org.berylpoint.ctl

import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempfile
import io.kotest.matchers.shouldBe
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueChange
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.model.MoveReport
import org.berylpoint.model.StatusReport
import java.time.Duration

private val samples =
    checkNotNull(OperatorFormatTest::class.java.getResource("/formats/ctl.txt")).readText().trim().lines()
        .associate { it.substringBefore(' ') to it.substringAfter(' ') }

private fun <T> read(type: KSerializer<T>, key: String): T =
    OperatorClient.json.decodeFromString(type, samples.getValue(key))

private fun <T> write(type: KSerializer<T>, value: T): String = OperatorClient.json.encodeToString(type, value)

/**
 * Guards against a changed serialized name, after which `berylctl` can't read the answers of an older instance, and
 * catalogue files and scripts for an older `berylctl` no longer work. No property of a sample is at its default. What
 * stands in a sample stays; new properties are added.
 */
class OperatorFormatTest :
    FunSpec({
        mapOf(
            "catalogue" to Catalogue.serializer(),
            "update" to CatalogueUpdate.serializer(),
            "status" to StatusReport.serializer(),
            "moves" to ListSerializer(MoveReport.serializer()),
            "changes" to ListSerializer(CatalogueChange.serializer()),
            "failure" to CallFailure.serializer(),
        ).forEach { (key, type) ->
            fun <T> recode(type: KSerializer<T>) = write(type, read(type, key))

            test("$key is read and written as before") { recode(type) shouldBe samples.getValue(key) }
        }

        test("a catalogue file is read and written as before") {
            val file = tempfile().apply { writeText(samples.getValue("file")) }
            CatalogueFile.read(file).fold({ "$it" }, { write(CatalogueFile.serializer(), it) }) shouldBe
                samples.getValue("file")
        }

        test("the accepted version and a problem are read as before") {
            val instance = autoClose(FakeInstance())
            val client = OperatorClient(listOf(instance.address), FakeInstance.TOKEN, Duration.ofSeconds(10))
            val update = read(CatalogueUpdate.serializer(), "update")
            instance.answer = 200 to samples.getValue("accepted")
            client.submit(update) shouldBe 43L.right()
            instance.answer = 422 to samples.getValue("problem")
            client.submit(update) shouldBe read(CallFailure.serializer(), "failure").left()
        }

        test("names of exit codes that reach the output, with their numbers") {
            ExitCode.entries.joinToString(" ") { "${it.name}=${it.code}" } shouldBe "OK=0 USAGE=1 INVALID=2 " +
                "UNAVAILABLE=3 CONFLICT=4 NOT_IN_FORCE=5 UNKNOWN=6 UNAUTHENTICATED=7 DIFFERS=8 FAILED=9"
        }
    })
