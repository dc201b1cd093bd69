package org.berylpoint.entry.http

import org.berylpoint.entry.backend.BackendEvent

/**
 * Reads a `text/event-stream` body line by line, as the HTML standard's server-sent events define it.
 *
 * Only the `data` field and comments matter to the OpenAI protocol; other fields are skipped.
 */
internal class EventStreamParser {
    private val data = StringBuilder()
    private var hasData = false

    /** Takes in one line without its line end; the event that it completes, if any. */
    fun parseLine(text: String): BackendEvent? = when {
        text.isEmpty() -> if (hasData) BackendEvent.Data(data.toString()).also { reset() } else null

        text.startsWith(":") -> BackendEvent.KeepAlive

        else -> {
            if (text.substringBefore(':') == "data") append(text.substringAfter(':', "").removePrefix(" "))
            null
        }
    }

    private fun append(value: String) {
        if (hasData) data.append('\n')
        data.append(value)
        hasData = true
    }

    private fun reset() {
        data.setLength(0)
        hasData = false
    }
}
