package org.berylpoint.entry.settings

/** A key or token. `toString` hides the text, which keeps it out of logs and dumps. */
public class Secret(private val text: String) {
    public fun reveal(): String = text

    override fun equals(other: Any?): Boolean = other is Secret && other.text == text

    override fun hashCode(): Int = text.hashCode()

    override fun toString(): String = "[hidden]"
}
