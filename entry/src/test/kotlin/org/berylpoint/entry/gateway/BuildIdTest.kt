package org.berylpoint.entry.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import java.io.File
import java.util.zip.ZipEntry
import java.util.zip.ZipOutputStream

class BuildIdTest :
    FunSpec({
        test("builds of the same classes have the same name, others another") {
            val first = jar("berylpoint-a.jar", time = 1_000_000_000_000, "A.class" to "1", "B.class" to "2")
            val again = jar("berylpoint-a.jar", time = 1_700_000_000_000, "B.class" to "2", "A.class" to "1")
            val other = jar("berylpoint-a.jar", time = 1_000_000_000_000, "A.class" to "1", "B.class" to "3")
            BuildId.of(again.path) shouldBe BuildId.of(first.path)
            BuildId.of(other.path) shouldNotBe BuildId.of(first.path)
        }

        test("libraries and folders of classes give no name") {
            val library = jar("library.jar", time = 1_000_000_000_000, "A.class" to "1")
            BuildId.of("${library.path}${File.pathSeparator}${library.parent}") shouldBe null
        }
    })

private fun FunSpec.jar(name: String, time: Long, vararg files: Pair<String, String>): File {
    val jar = File(tempdir(), name)
    ZipOutputStream(jar.outputStream()).use { zip ->
        for ((path, content) in files) {
            zip.putNextEntry(ZipEntry(path).apply { this.time = time })
            zip.write(content.encodeToByteArray())
        }
    }
    return jar
}
