package org.berylpoint.ctl

import arrow.core.Either
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.requireObject
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.put

/** A command that prints text, or with `--json` one JSON value; failures go to standard error in the same form. */
internal abstract class ReportingCommand(name: String, private val text: String, private val examples: List<String>) :
    CliktCommand(name = name) {
    protected val session: Session by requireObject()
    private val asJson by option("--json", help = "Print JSON.").flag()

    protected val client: OperatorClient by lazy { session.client() }

    override fun help(context: Context): String = text

    // The non-breaking mark keeps each example on a line of its own.
    override fun helpEpilog(context: Context): String =
        if (examples.isEmpty()) "" else "Examples:\n\n" + examples.joinToString("\n\n")

    protected fun report(json: JsonElement, text: () -> String) {
        echo(if (asJson) CatalogueFile.json.encodeToString(JsonElement.serializer(), json) else text())
    }

    protected inline fun <reified T> encode(value: T): JsonElement = OperatorClient.json.encodeToJsonElement(value)

    protected fun <T> Either<CallFailure, T>.orFail(): T = fold({ fail(it) }, { it })

    protected fun fail(failure: CallFailure): Nothing {
        if (asJson) {
            val body = buildJsonObject {
                put("error", failure.exit.name)
                put("exitCode", failure.exit.code)
                put("detail", failure.detail)
                put("faults", encode(failure.faults))
            }
            echo(CatalogueFile.json.encodeToString(JsonElement.serializer(), body), err = true)
        } else {
            echo("berylctl: ${failure.detail}", err = true)
            failure.faults.forEach { echo("  $it", err = true) }
        }
        throw ProgramResult(failure.exit.code)
    }
}
