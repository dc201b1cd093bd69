package org.berylpoint.entry.settings

/** Declaration of a key of the settings file. */
internal class SettingKey<T>(
    val section: String,
    val name: String,
    val type: SettingType<T>,
    /** Text that is parsed if the key is absent; null if it has no default. */
    val default: String?,
    val isRequired: Boolean,
    val description: String,
) {
    override fun toString(): String = "[$section] $name"
}
