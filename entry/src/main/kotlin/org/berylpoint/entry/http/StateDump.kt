package org.berylpoint.entry.http

import kotlinx.serialization.json.JsonElement

/** A component whose state operators can dump. */
public interface StateDump {
    /** Name of the component, unique within the process. */
    public val name: String

    /** The state as JSON. May be called from any thread. */
    public fun dump(): JsonElement
}
