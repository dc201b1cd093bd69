package org.berylpoint.entry.settings

/** One key of the settings file. */
internal class SettingKey<T>(
    val section: String,
    val name: String,
    val type: SettingType<T>,
    /** Text of the value that holds when the key is absent; null when there is none. */
    val default: String?,
    val isRequired: Boolean,
    val description: String,
) {
    override fun toString(): String = "[$section] $name"
}
