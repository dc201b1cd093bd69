package org.berylpoint.entry.settings

/** Generates the text of `docs/settings.md` from [SettingKeys]. A test compares the two. */
internal fun settingsPage(): String = buildString {
    appendLine("# Settings of an entry instance")
    appendLine()
    appendLine("`berylpoint` reads one INI file. Its keys stand in the sections below as `key = value`; lines that")
    appendLine("begin with `#` or `;` are comments. Relative file names start from the directory of the settings file.")
    appendLine("A key whose value has a unit names the unit, and the value is a plain number. The process refuses a")
    appendLine("file with an unknown section or key, a key given twice or a value out of range, and names every such")
    appendLine("fault with its line. This page is written from the table of keys in the code; a test compares them.")
    SettingKeys.all.groupBy { it.section }.forEach { (section, keys) ->
        appendLine()
        appendLine("## `[$section]`")
        appendLine()
        appendLine("| key | default | accepted | meaning |")
        appendLine("| --- | --- | --- | --- |")
        keys.forEach { appendLine("| `${it.name}` | ${defaultOf(it)} | ${it.type.description} | ${it.description} |") }
    }
}

private fun defaultOf(key: SettingKey<*>): String = when {
    key.isRequired -> "required"
    key.default == null -> "none"
    key.default.isEmpty() -> "empty"
    else -> "`${key.default}`"
}
