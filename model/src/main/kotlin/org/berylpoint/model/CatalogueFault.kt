package org.berylpoint.model

import kotlinx.serialization.Serializable

/** One reason why a catalogue update is rejected. */
@Serializable
public data class CatalogueFault(
    /** The object at fault, as in `entry chat-v1` or `move of chat`. */
    val subject: String,
    /** Path of the field, as in `limits.maxInFlight`. */
    val field: String,
    val value: String,
    val expected: String,
) {
    override fun toString(): String = "$subject: $field is '$value', expected $expected"
}
