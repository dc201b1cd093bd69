package org.berylpoint.entry.settings

/** One reason why a settings file is refused. */
public data class SettingFault(
    /** The file as it was named. */
    val file: String,
    /** Line of the key or section, counted from 1; 0 when the file has no such line. */
    val line: Int,
    /** Section and key, as in `[limits] body-bytes`. */
    val key: String,
    val value: String,
    val expected: String,
) {
    override fun toString(): String {
        val place = if (line > 0) "$file:$line" else file
        return "$place: $key is '$value', expected $expected"
    }
}
