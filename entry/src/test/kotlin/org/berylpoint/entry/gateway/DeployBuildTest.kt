package org.berylpoint.entry.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import java.io.File

class DeployBuildTest :
    FunSpec({
        // Guards against an older build that is run on after a build that failed (review/8 and review/9 were broken by
        // the archive of the build before).
        test("a build that fails leaves nothing of an earlier one that could be run") {
            val folder = tempdir()
            val archive = File(folder, "entry/target/entry.jsa").apply { parentFile.mkdirs() }
            archive.writeText("an earlier build")
            val tools = File(folder, "bin").apply { mkdirs() }
            File(tools, "mvn").apply { writeText("#!/bin/sh\nexit 1\n") }.setExecutable(true)
            val process = ProcessBuilder("sh", "-c", buildCommand()).directory(folder)
            process.environment()["PATH"] = "${tools.path}${File.pathSeparator}${System.getenv("PATH")}"
            process.start().waitFor() shouldNotBe 0
            archive.exists() shouldBe false
        }
    })

private fun buildCommand(): String = File("../deploy/system.toml").readLines()
    .first { it.startsWith("build = ") }
    .substringAfter('"')
    .substringBeforeLast('"')
