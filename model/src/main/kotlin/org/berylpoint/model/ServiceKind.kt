package org.berylpoint.model

import kotlinx.serialization.Serializable

/** How requests of a catalogue entry are sent. */
@Serializable
public enum class ServiceKind {
    /** A model engine that speaks the OpenAI chat completions protocol with server-sent events. */
    MODEL,

    /** A plain HTTP service; requests pass through unchanged. */
    PLAIN,
}
