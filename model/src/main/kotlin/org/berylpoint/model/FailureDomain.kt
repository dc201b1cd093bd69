package org.berylpoint.model

import kotlinx.serialization.Serializable

/** A zone whose machines can fail, be reclaimed or be cut off from the network together. */
@Serializable
@JvmInline
public value class FailureDomain(public val name: String) {
    override fun toString(): String = name
}
