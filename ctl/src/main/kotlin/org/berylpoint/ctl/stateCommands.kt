package org.berylpoint.ctl

import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.serialization.json.JsonElement
import org.berylpoint.model.StatusReport
import kotlin.time.Duration.Companion.seconds

internal class Status :
    ReportingCommand(
        "status",
        "Print the known instances with their catalogue versions and name those that have not confirmed.",
        listOf(
            "berylctl status",
            "berylctl --address http://10.0.0.1:7402,http://10.0.1.1:7402 status --json",
        ),
    ) {
    override fun run() {
        val status = client.status(ask = true).orFail()
        report(encode(status)) { describe(status) }
    }
}

internal class Dump :
    ReportingCommand(
        "dump",
        "Print the state of an instance's components as JSON.",
        listOf(
            "berylctl dump --component catalogue",
            "berylctl dump --instance muc-a-1-7f3a",
            "berylctl dump --all",
        ),
    ) {
    private val instance by option("--instance", metavar = "ID", help = "Another instance than the one that answers.")
    private val all by option("--all", help = "All known instances.").flag()
    private val component by option("--component", metavar = "NAME", help = "One component only.")

    override fun run() {
        if (all && instance != null) throw UsageError("give either --instance or --all")
        val state = client.dump(if (all) "all" else instance, component).orFail()
        report(state) { CatalogueFile.json.encodeToString(JsonElement.serializer(), state) }
    }
}

internal class Watch :
    ReportingCommand(
        "watch",
        "Print the status each time it changes, until interrupted.",
        listOf(
            "berylctl watch --interval-seconds 5",
        ),
    ) {
    private val interval by option("--interval-seconds", help = "Time between readings (default: 1).").int()
        .restrictTo(1..3_600).default(1)
    private val count by option("--count", help = "Readings after which to end.").int().restrictTo(min = 1)

    override fun run() {
        var last: StatusReport? = null
        var readings = 0
        while (true) {
            val status = client.status(ask = false).orFail()
            if (status != last) report(encode(status)) { describe(status) }
            last = status
            readings++
            if (count?.let { readings >= it } == true) return
            session.pause(interval.seconds)
        }
    }
}

private fun describe(status: StatusReport): String = buildString {
    appendLine("version ${status.version}, answered by ${status.answeredBy}")
    if (status.domainsOut.isNotEmpty()) appendLine("out of service: ${status.domainsOut.joinToString()}")
    status.moves.forEach {
        appendLine(
            "move of ${it.requestClass}: ${it.move.from} to ${it.move.to}, " +
                "${it.move.state}",
        )
    }
    val rows = status.instances.map {
        val state = if (it.isAlive) "alive" else "silent"
        listOf("${it.instance.id}", "${it.instance.failureDomain}", state, "${it.catalogueVersion}")
    }
    appendLine(table(listOf("INSTANCE", "DOMAIN", "STATE", "VERSION"), rows))
    val unconfirmed = status.unconfirmed
    append(if (unconfirmed.isEmpty()) "confirmed by all" else "not confirmed by: ${unconfirmed.joinToString()}")
}
