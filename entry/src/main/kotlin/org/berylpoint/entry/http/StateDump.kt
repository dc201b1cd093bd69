package org.berylpoint.entry.http

import kotlinx.serialization.json.JsonElement

/** A component that shows its state to operators. */
public interface StateDump {
    /** Name of the component, unique within the process. */
    public val name: String

    /** The state as JSON; called from any thread. */
    public fun dump(): JsonElement
}
