package org.berylpoint.entry.http

import org.berylpoint.entry.backend.BackendEvent

/**
 * Parses a `text/event-stream` body line by line, as defined for server-sent events in the HTML standard.
 *
 * The OpenAI protocol uses only the `data` field and comments, so other fields are skipped.
 */
internal class EventStreamParser {
    private val data = StringBuilder()
    private var hasData = false

    /** Parses one line without its line terminator. Returns the event that the line completes, or null. */
    fun parseLine(text: String): BackendEvent? = when {
        text.isEmpty() -> if (hasData) BackendEvent.Data(data.toString()).also { reset() } else null

        text.startsWith(":") -> BackendEvent.KeepAlive

        else -> {
            if (text.substringBefore(':') == "data") appendData(text.substringAfter(':', "").removePrefix(" "))
            null
        }
    }

    private fun appendData(value: String) {
        if (hasData) data.append('\n')
        data.append(value)
        hasData = true
    }

    private fun reset() {
        data.setLength(0)
        hasData = false
    }
}
