package org.berylpoint.entry.settings

import org.apache.commons.configuration2.INIConfiguration
import org.apache.commons.configuration2.tree.ImmutableNode

/** The keys of an INI text with the lines they stand on. */
internal class IniFile(val entries: List<Entry>, val sections: List<Section>) {
    /** [section] is empty for a key above the first section. */
    data class Entry(val section: String, val key: String, val value: String, val line: Int)

    data class Section(val name: String, val line: Int)

    companion object {
        /** Reads [text]; throws `ConfigurationException` when it is not INI. */
        fun parse(text: String): IniFile {
            val ini = INIConfiguration()
            // Addresses hold colons, which would otherwise separate keys from values.
            ini.separatorUsedInInput = "="
            ini.read(text.reader())
            val lines = LineIndex(text)
            // Reading nodes instead of keys leaves `${...}` as it is written and allows dots in names.
            val root = ini.nodeModel.nodeHandler.rootNode
            val (global, sections) = root.children.partition { it.children.isEmpty() && it.value != null }
            return IniFile(
                entries = global.map { entry("", it, lines) } + sections.flatMap { section ->
                    section.children.map { entry(section.nodeName, it, lines) }
                },
                sections = lines.sections,
            )
        }

        private fun entry(section: String, node: ImmutableNode, lines: LineIndex) =
            Entry(section, node.nodeName, node.value?.toString().orEmpty().trim(), lines.next(section, node.nodeName))
    }
}

/** Finds the lines of keys, which the INI reader does not keep. */
private class LineIndex(text: String) {
    val sections = mutableListOf<IniFile.Section>()
    private val lines = mutableMapOf<Pair<String, String>, ArrayDeque<Int>>()

    init {
        var section = ""
        text.lineSequence().map { it.trim() }.forEachIndexed { index, line ->
            if (line.startsWith('[') && ']' in line) {
                section = line.substring(1, line.indexOf(']')).trim()
                sections += IniFile.Section(section, index + 1)
            } else if (line.isNotEmpty() && line[0] !in COMMENT) {
                lines.getOrPut(section to line.substringBefore('=').trim()) { ArrayDeque() }.addLast(index + 1)
            }
        }
    }

    /** The line of the next key of this name, in the order of the file; 0 if there is none. */
    fun next(section: String, key: String): Int = lines[section to key]?.removeFirstOrNull() ?: 0

    private companion object {
        const val COMMENT = "#;"
    }
}
