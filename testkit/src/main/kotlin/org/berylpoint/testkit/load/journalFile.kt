package org.berylpoint.testkit.load

import kotlinx.serialization.json.Json
import org.berylpoint.testkit.standin.CallerEvent
import org.berylpoint.testkit.standin.JournalEvent
import java.io.File

/** Writes the callers' events of a journal as JSON lines. */
internal fun List<JournalEvent>.writeCallers(file: File): Unit = file.printWriter().use { out ->
    filterIsInstance<CallerEvent>().forEach { out.println(Json.encodeToString(CallerEvent.serializer(), it)) }
}

/** Reads the events that [writeCallers] wrote. */
internal fun readCallers(file: File): List<CallerEvent> =
    file.readLines().map { Json.decodeFromString(CallerEvent.serializer(), it) }
