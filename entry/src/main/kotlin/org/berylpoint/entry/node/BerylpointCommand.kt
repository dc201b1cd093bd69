package org.berylpoint.entry.node

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.OptionTransformContext
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.validate
import com.github.ajalt.clikt.parameters.options.versionOption
import com.github.ajalt.clikt.parameters.types.file
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.runBlocking
import org.berylpoint.entry.gateway.GatewayProcess
import org.berylpoint.entry.gateway.WarmUp
import org.berylpoint.entry.log.LogConfigurator
import org.berylpoint.entry.settings.GatewaySettings
import org.berylpoint.entry.settings.NodeSettings
import sun.misc.Signal
import java.io.File
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

private val logger = KotlinLogging.logger {}

private const val START_FAILED = 3

/** The command line of an entry instance. */
internal class BerylpointCommand : CliktCommand(name = "berylpoint") {
    init {
        versionOption(VERSION)
        subcommands(RunCommand(), ServeCommand(), WarmUpCommand(), CheckCommand())
    }

    override fun help(context: Context): String = """
        An entry instance of Berylpoint.

        Exit codes: 0 after a graceful stop or a clean check, 1 for faults in the settings, 2 for wrong usage, 3 if the
        start failed, for example since an address stays taken.
    """.trimIndent()

    override fun run() = Unit

    private companion object {
        const val VERSION = "0.1.0"
    }
}

/** Runs until SIGTERM, then stops gracefully. */
private class RunCommand : CliktCommand(name = "run") {
    private val settings by option(help = "settings file").file(mustExist = true, canBeDir = false).required()

    override fun help(context: Context): String = "Runs an entry instance. Example: berylpoint run --settings entry.ini"

    override fun run() {
        val values = readSettings(settings)
        val process = startOrEnd { EntryProcess(values).also { runBlocking { it.start() } } }
        val stopped = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                runBlocking { process.stop() }
                LogConfigurator.flush()
                stopped.countDown()
            },
        )
        stopped.await()
    }
}

/** Runs on the operators' platform until SIGTERM, then stops gracefully; SIGHUP reloads the settings. */
private class ServeCommand : CliktCommand(name = "serve") {
    private val settings by option(help = "settings file").file(mustExist = true, canBeDir = false).required()
    private val drainMillis by option(
        envvar = "BERYLPOINT_DRAIN_MILLIS",
        help = "Time after a server's departure in which requests may still reach it; goes before the settings file.",
    ).validate { requireMillis(it) }
    private val configMillis by option(
        envvar = "BERYLPOINT_CONFIG_MILLIS",
        help = "Time in which a configuration must be in force; goes before the settings file.",
    ).validate { requireMillis(it) }
    private val rolloutShare by option(
        envvar = "BERYLPOINT_ROLLOUT_SHARE",
        help = "Share of a service's requests that a version may get until its rollout's time is over, from 0 to 1; " +
            "goes before the settings file.",
    ).validate { requireNumber(it, 0.0..1.0) }
    private val rolloutSlack by option(
        envvar = "BERYLPOINT_ROLLOUT_SLACK",
        help = "Requests that a version may get besides that share; goes before the settings file.",
    ).validate { requireNumber(it, 0.0..Double.MAX_VALUE) }

    override fun help(context: Context): String =
        "Runs an entry instance on the operators' platform. Example: berylpoint serve --settings entry.ini"

    override fun run() {
        val values = read().fold(
            ifLeft = { faults ->
                faults.forEach { echo(it.toString(), err = true) }
                throw ProgramResult(1)
            },
            ifRight = { it },
        )
        val process = startOrEnd { GatewayProcess(values, System::currentTimeMillis) }
        val stopped = CountDownLatch(1)
        // Without these handlers, the JVM would exit at once on either signal.
        Signal.handle(Signal("HUP")) { process.reload(::read) }
        Signal.handle(Signal("TERM")) { stopped.countDown() }
        startOrEnd { process.start() }
        stopped.await()
        process.stop()
        LogConfigurator.flush()
        Runtime.getRuntime().halt(0)
    }

    private fun read() = GatewaySettings.read(settings).map {
        val bounds = it.bounds.withChangeBounds(drainMillis?.toLongOrNull(), configMillis?.toLongOrNull())
        it.copy(bounds = bounds.withRolloutBounds(rolloutShare?.toDoubleOrNull(), rolloutSlack?.toDoubleOrNull()))
    }

    /** Accepts an empty value, too: the platform leaves a variable empty whose field it doesn't have. */
    private fun OptionTransformContext.requireMillis(value: String) =
        require(value.isEmpty() || (value.toLongOrNull() ?: 0) > 0) { "$value is no number of milliseconds above 0" }

    /** As for [requireMillis]. */
    private fun OptionTransformContext.requireNumber(value: String, range: ClosedFloatingPointRange<Double>) =
        require(value.isEmpty() || value.toDoubleOrNull()?.let { it in range } == true) {
            "$value is no number from ${range.start} to ${range.endInclusive}"
        }
}

/** Loads the classes that serving requests needs, for a class-data archive that the JVM writes at exit. */
private class WarmUpCommand : CliktCommand(name = "warm-up") {
    override fun help(context: Context): String =
        "Serves a few requests on loopback and ends; run with -XX:ArchiveClassesAtExit to make starts faster."

    override fun run() {
        val served = WarmUp(System::currentTimeMillis).run()
        echo("$served requests were served")
        exitProcess(if (served > 0) 0 else 1)
    }
}

/** Checks a settings file without any network access. */
private class CheckCommand : CliktCommand(name = "check") {
    private val settings by option(help = "settings file").file(mustExist = true, canBeDir = false).required()

    override fun help(context: Context): String =
        "Checks a settings file without contacting anything. Example: berylpoint check --settings entry.ini"

    override fun run() {
        readSettings(settings)
        echo("$settings: no faults")
    }
}

/**
 * Runs [start], and ends the process if that fails. Threads that were started by then would keep it alive, so that
 * nobody starts it again.
 */
private fun <T> startOrEnd(start: () -> T): T = try {
    start()
} catch (e: Exception) {
    logger.error(e) { "process: the start failed" }
    LogConfigurator.flush()
    Runtime.getRuntime().halt(START_FAILED)
    throw e
}

private fun CliktCommand.readSettings(file: File): NodeSettings = NodeSettings.read(file).fold(
    ifLeft = { faults ->
        faults.forEach { echo(it.toString(), err = true) }
        throw ProgramResult(1)
    },
    ifRight = { it },
)

public fun main(args: Array<String>): Unit = BerylpointCommand().main(args)
