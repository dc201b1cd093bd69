package org.berylpoint.entry.settings

/** A key or token; its text stays out of logs and dumps, because `toString` does not show it. */
public class Secret(private val text: String) {
    /** The text itself. */
    public fun reveal(): String = text

    override fun equals(other: Any?): Boolean = other is Secret && other.text == text

    override fun hashCode(): Int = text.hashCode()

    override fun toString(): String = "[hidden]"
}
