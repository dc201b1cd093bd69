package org.berylpoint.entry.settings

import org.apache.commons.configuration2.INIConfiguration
import org.apache.commons.configuration2.tree.ImmutableNode

/** The keys and sections of an INI text with their line numbers, counted from 1. */
internal class IniFile(val entries: List<Entry>, val sections: List<Section>) {
    /** [section] is empty for a key above the first section. */
    data class Entry(val section: String, val key: String, val value: String, val line: Int)

    data class Section(val name: String, val line: Int)

    companion object {
        /** Parses [text]; throws `ConfigurationException` if it is not valid INI. */
        fun parse(text: String): IniFile {
            val ini = INIConfiguration()
            // By default a colon also separates a key from its value, but addresses contain colons.
            ini.separatorUsedInInput = "="
            ini.read(text.reader())
            val lines = LineIndex(text)
            // Unlike lookups by key, nodes allow dots in names and don't interpolate `${...}`.
            val root = ini.nodeModel.nodeHandler.rootNode
            val (global, sections) = root.children.partition { it.children.isEmpty() && it.value != null }
            return IniFile(
                entries = global.map { entry("", it, lines) } + sections.flatMap { section ->
                    section.children.map { entry(section.nodeName, it, lines) }
                },
                sections = lines.sections,
            )
        }

        private fun entry(section: String, node: ImmutableNode, lines: LineIndex) = Entry(
            section,
            node.nodeName,
            node.value?.toString().orEmpty().trim(),
            lines.nextLine(section, node.nodeName),
        )
    }
}

/** Maps keys to their line numbers, which the INI parser does not record. */
private class LineIndex(text: String) {
    val sections = mutableListOf<IniFile.Section>()
    private val lines = mutableMapOf<Pair<String, String>, ArrayDeque<Int>>()

    init {
        var section = ""
        text.lineSequence().map { it.trim() }.forEachIndexed { index, line ->
            if (line.startsWith('[') && ']' in line) {
                section = line.substring(1, line.indexOf(']')).trim()
                sections += IniFile.Section(section, index + 1)
            } else if (line.isNotEmpty() && line[0] !in COMMENT_MARKERS) {
                lines.getOrPut(section to line.substringBefore('=').trim()) { ArrayDeque() }.addLast(index + 1)
            }
        }
    }

    /** Returns the line of the next occurrence of the key in file order and consumes it; 0 if there is none. */
    fun nextLine(section: String, key: String): Int = lines[section to key]?.removeFirstOrNull() ?: 0

    private companion object {
        const val COMMENT_MARKERS = "#;"
    }
}
