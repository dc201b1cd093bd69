package org.berylpoint.bench

/** A line plot of some columns of a [Report] over another one; all of them numbers. */
public data class Plot(val x: String, val lines: List<String>) {
    /** The plot as an SVG document. */
    public fun toSvg(report: Report): String {
        val xs = column(report, x)
        val series = lines.associateWith { column(report, it) }
        val right = xs.max()
        val top = series.values.flatten().max().coerceAtLeast(Double.MIN_VALUE)
        val drawn = series.entries.withIndex().joinToString("\n") { (index, entry) ->
            val points = xs.zip(entry.value).joinToString(" ") { (px, py) -> "${left(px / right)},${down(py / top)}" }
            val color = COLORS[index % COLORS.size]
            """<polyline fill="none" stroke="$color" points="$points"/>""" +
                """<text x="60" y="${20 + 16 * index}" fill="$color">${entry.key} (to $top)</text>"""
        }
        return """<svg xmlns="http://www.w3.org/2000/svg" width="$WIDTH" height="$HEIGHT" font-family="sans-serif" """ +
            """font-size="12"><rect width="100%" height="100%" fill="white"/>""" +
            """<path d="M$MARGIN 10V${HEIGHT - MARGIN}H${WIDTH - 10}" fill="none" stroke="black"/>""" +
            """<text x="${WIDTH / 2}" y="${HEIGHT - 10}">$x (to $right)</text>$drawn</svg>"""
    }

    private fun column(report: Report, name: String): List<Double> {
        val index = report.columns.indexOf(name)
        return report.rows.map { (it[index] as Number).toDouble() }
    }

    private fun left(part: Double) = MARGIN + part * (WIDTH - MARGIN - 20)

    private fun down(part: Double) = HEIGHT - MARGIN - part * (HEIGHT - MARGIN - 20)

    private companion object {
        const val WIDTH = 640
        const val HEIGHT = 360
        const val MARGIN = 40
        val COLORS = listOf("#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e")
    }
}
