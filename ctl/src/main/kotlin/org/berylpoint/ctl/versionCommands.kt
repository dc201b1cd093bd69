package org.berylpoint.ctl

import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import org.berylpoint.model.CatalogueChange
import org.berylpoint.model.RequestClass
import org.berylpoint.model.VersionName
import java.time.DateTimeException
import java.time.Instant
import java.time.OffsetDateTime
import java.util.Locale
import kotlin.time.Duration

internal fun versionCommand() = GroupCommand(
    "version",
    "Move a class's traffic to another " +
        "version.",
    listOf(Move(), MoveStatus()),
)

private class Move :
    ChangeCommand(
        "move",
        "Move a class's traffic to a version by a set time.",
        listOf(
            "berylctl version move chat --to v2 --by 2026-05-04T17:00:00+02:00 --wait",
            "berylctl version move chat --to v2 --within 30m",
        ),
    ) {
    private val requestClass by argument("CLASS")
    private val to by option("--to", metavar = "VERSION", help = "Version to move to.").required()
    private val by by option("--by", metavar = "TIME", help = "Time of completion, as in 2026-05-04T17:00:00+02:00.")
    private val within by option("--within", metavar = "DURATION", help = "Time from now to completion, as in 30m.")

    override fun run() {
        val time = completeBy()
        commit { listOf(CatalogueChange.MoveTraffic(RequestClass(requestClass), VersionName(to), time)) }
    }

    private fun completeBy(): Long {
        val (time, duration) = by to within
        return when {
            time != null && duration == null -> parseTime(time)
            time == null && duration != null -> Instant.now().toEpochMilli() +
                parseDuration(duration).inWholeMilliseconds
            else -> throw UsageError("give either --by or --within")
        }
    }

    private fun parseTime(text: String): Long = try {
        OffsetDateTime.parse(text).toInstant().toEpochMilli()
    } catch (e: DateTimeException) {
        throw UsageError("--by is '$text', expected a time such as 2026-05-04T17:00:00+02:00")
    }

    private fun parseDuration(text: String): Duration =
        Duration.parseOrNull(text)?.takeIf { it.isPositive() && it.isFinite() }
            ?: throw UsageError("--within is '$text', expected a duration such as 30m or 2h")
}

private class MoveStatus :
    ReportingCommand(
        "status",
        "Print the moves with the shares of traffic at present.",
        listOf(
            "berylctl version status",
            "berylctl version status chat --json",
        ),
    ) {
    private val requestClass by argument("CLASS").optional()

    override fun run() {
        val moves = client.moves().orFail().filter { requestClass == null || it.requestClass.name == requestClass }
        report(encode(moves)) {
            val rows = moves.map { report ->
                val shares = report.shares.entries.joinToString { "${it.key} ${percent(it.value)}" }
                val by = Instant.ofEpochMilli(report.move.completeByEpochMillis)
                val (from, to) = report.move.from to report.move.to
                listOf("${report.requestClass}", "$from", "$to", "${report.move.state}", "$by", shares)
            }
            table(listOf("CLASS", "FROM", "TO", "STATE", "BY", "SHARES"), rows)
        }
    }

    private fun percent(share: Double) = "%.1f%%".format(Locale.ROOT, share * 100)
}
