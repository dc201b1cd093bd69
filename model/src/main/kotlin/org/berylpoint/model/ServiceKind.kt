package org.berylpoint.model

import kotlinx.serialization.Serializable

/** How requests are sent to the backend servers of a catalogue entry. */
@Serializable
public enum class ServiceKind {
    /** A model engine that speaks the OpenAI chat completions protocol with server-sent events. */
    MODEL,

    /** A plain HTTP service; requests pass through unchanged. */
    PLAIN,
}
