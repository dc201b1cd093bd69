package org.berylpoint.bench

import java.io.File
import java.util.Locale

/** The result of one scenario: a table, and the bounds that were broken. */
public data class Report(
    val name: String,
    val columns: List<String>,
    val rows: List<List<Any>>,
    /** One sentence for each bound that does not hold; empty when all hold. */
    val broken: List<String> = emptyList(),
    /** Column that gives the horizontal axis of the plot, and the columns to draw over it. */
    val plot: Plot? = null,
) {
    /** The table as aligned text. */
    public fun toText(): String {
        val cells = (listOf(columns) + rows.map { row -> row.map { format(it) } })
        val widths = columns.indices.map { column -> cells.maxOf { it[column].length } }
        val lines = cells.map { row -> row.withIndex().joinToString("  ") { (i, cell) -> cell.padStart(widths[i]) } }
        return (listOf("== $name") + lines + broken.map { "BROKEN: $it" }).joinToString("\n")
    }

    /** Writes the table as CSV and the plot as SVG into [folder]. */
    public fun write(folder: File) {
        folder.mkdirs()
        val lines = (
            listOf(columns) + rows.map { row ->
                row.map { format(it) }
            }
            ).joinToString("\n") { it.joinToString(",") }
        File(folder, "$name.csv").writeText(lines + "\n")
        plot?.let { File(folder, "$name.svg").writeText(it.toSvg(this)) }
    }

    private fun format(value: Any): String =
        if (value is Double) "%.3f".format(Locale.ROOT, value) else value.toString()
}
