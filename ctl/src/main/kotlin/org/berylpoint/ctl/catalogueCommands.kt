package org.berylpoint.ctl

import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueChange

internal fun catalogueCommand() =
    GroupCommand("catalogue", "Read, compare, check and change the catalogue.", listOf(Get(), Diff(), Apply(), Check()))

private class Get :
    ReportingCommand(
        "get",
        "Print the catalogue in force; with --json as a file that can be edited and applied.",
        listOf(
            "berylctl catalogue get --json > catalogue.json",
        ),
    ) {
    override fun run() {
        val catalogue = client.catalogue().orFail()
        report(encode(CatalogueFile(catalogue.entries.values.toList(), catalogue.version))) {
            val rows = catalogue.entries.values.map {
                listOf("${it.name}", "${it.requestClass}", "${it.version}", "${it.owner}", "${it.servers.size}")
            }
            "version ${catalogue.version}\n" + table(listOf("ENTRY", "CLASS", "VERSION", "OWNER", "SERVERS"), rows)
        }
    }
}

private class Diff :
    ReportingCommand(
        "diff",
        "Print what applying FILE would change. Exit code 8 tells that something would.",
        listOf(
            "berylctl catalogue diff catalogue.json",
        ),
    ) {
    private val file by argument("FILE").file()
    private val prune by option("--prune", help = "Count entries that the file lacks as retired.").flag()

    override fun run() {
        val wanted = CatalogueFile.read(file).orFail()
        val catalogue = client.catalogue().orFail()
        val changes = wanted.changesTo(catalogue, prune)
        report(encode(changes)) {
            if (changes.isEmpty()) "no difference" else changes.joinToString("\n") { describe(it, catalogue) }
        }
        if (changes.isNotEmpty()) throw ProgramResult(ExitCode.DIFFERS.code)
    }
}

private class Apply :
    ChangeCommand(
        "apply",
        "Put the entries of FILE into the catalogue, all or none.",
        listOf(
            "berylctl catalogue apply catalogue.json --wait",
            "berylctl catalogue apply catalogue.json --prune --expect 41",
        ),
    ) {
    private val file by argument("FILE").file()
    private val prune by option("--prune", help = "Retire entries that the file lacks.").flag()

    override fun run() {
        val wanted = CatalogueFile.read(file).orFail()
        wanted.check()?.let { fail(it) }
        commit(wanted.version) { wanted.changesTo(it, prune) }
    }
}

private class Check :
    ReportingCommand(
        "check",
        "Check FILE without talking to any instance.",
        listOf(
            "berylctl catalogue check catalogue.json",
        ),
    ) {
    private val file by argument("FILE").file()

    override fun run() {
        val wanted = CatalogueFile.read(file).orFail()
        wanted.check()?.let { fail(it) }
        val result = buildJsonObject {
            put("valid", true)
            put("entries", wanted.entries.size)
        }
        report(result) { "valid: ${wanted.entries.size} entries" }
    }
}

private fun describe(change: CatalogueChange, catalogue: Catalogue): String = when (change) {
    is CatalogueChange.PutEntry ->
        if (change.entry.name in catalogue.entries) "~ entry ${change.entry.name}" else "+ entry ${change.entry.name}"

    is CatalogueChange.RetireEntry -> "- entry ${change.name}"

    is CatalogueChange.TakeOut -> "- domain ${change.domain}"

    is CatalogueChange.BringBack -> "+ domain ${change.domain}"

    is CatalogueChange.MoveTraffic -> "~ move of ${change.requestClass}"

    is CatalogueChange.EndMove -> "~ move of ${change.requestClass}"
}
