package org.berylpoint.entry.gateway

import java.io.File
import java.util.zip.CRC32
import java.util.zip.ZipFile

/**
 * Names the code that a process runs, so that logs tell one build from another: a checksum of the project's classes.
 * Builds of the same sources have the same name, whenever they were made.
 */
internal object BuildId {
    private const val JAR_PREFIX = "berylpoint-"
    private const val META_DATA = "META-INF/"

    /** The name of the build on [classPath], eight hexadecimal digits; null if it has none of the project's jars. */
    fun of(classPath: String = System.getProperty("java.class.path")): String? {
        val jars = classPath.split(File.pathSeparator).map(::File)
            .filter { it.name.startsWith(JAR_PREFIX) && it.isFile }
        if (jars.isEmpty()) return null
        val sum = CRC32()
        jars.sortedBy { it.name }.flatMap(::entriesOf).forEach { sum.update(it.encodeToByteArray()) }
        return "%08x".format(sum.value)
    }

    /** The jar's files with their checksums, in the order of their names. */
    private fun entriesOf(jar: File): List<String> = ZipFile(jar).use { zip ->
        zip.stream().toList()
            .filterNot { it.isDirectory || it.name.startsWith(META_DATA) }
            .map { "${it.name} ${it.crc}" }
            .sorted()
    }
}
