package org.berylpoint.testkit.demo

import org.berylpoint.testkit.check.ClassOutcome

/** The fate of the calls of each request class as an aligned table. */
internal class OutcomeTable(private val classes: Map<String, ClassOutcome>) {
    fun toText(): String {
        val rows = classes.map { (name, it) ->
            listOf(name, it.accepted, it.completedOnce, it.late, it.refusedNotRun, it.unknown, it.failed, it.runTwice)
                .map(Any::toString)
        }
        val cells = listOf(COLUMNS) + rows
        val widths = COLUMNS.indices.map { column -> cells.maxOf { it[column].length } }
        return cells.joinToString("\n") { row ->
            row.withIndex().joinToString("  ") { (column, cell) -> cell.padEnd(widths[column]) }.trimEnd()
        }
    }

    private companion object {
        val COLUMNS = listOf(
            "class",
            "accepted",
            "completed once",
            "late",
            "refused not run",
            "unknown outcome",
            "failed",
            "run twice",
        )
    }
}
