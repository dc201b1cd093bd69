package org.berylpoint.entry.settings

/** An error in a settings file. */
public data class SettingFault(
    /** Path of the file as given. */
    val file: String,
    /** Line of the key or section, counted from 1; 0 if the fault has no line, as for a missing key. */
    val line: Int,
    /** Section and key, as in `[limits] body-bytes`. */
    val key: String,
    val value: String,
    val expected: String,
) {
    override fun toString(): String {
        val location = if (line > 0) "$file:$line" else file
        return "$location: $key is '$value', expected $expected"
    }
}
