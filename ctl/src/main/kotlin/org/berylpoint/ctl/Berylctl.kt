package org.berylpoint.ctl

import com.github.ajalt.clikt.completion.CompletionCommand
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.obj
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.versionOption
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import java.time.Duration
import kotlin.time.TimeSource

/** The command line for operators. */
internal class Berylctl(
    private val time: TimeSource = TimeSource.Monotonic,
    private val pause: (kotlin.time.Duration) -> Unit = { runBlocking { delay(it) } },
) : CliktCommand(name = "berylctl") {
    private val address by option(
        "--address",
        envvar = "BERYLPOINT_ADDRESS",
        help = "Admin addresses of entry instances, separated by commas; the first that can be reached is used.",
    ).default("http://127.0.0.1:7402")
    private val token by option("--token", envvar = "BERYLPOINT_TOKEN", help = "The operators' bearer token.")
    private val tokenFile by option(
        "--token-file",
        envvar = "BERYLPOINT_TOKEN_FILE",
        help = "File with the bearer token on its first line.",
    ).file()
    private val timeoutSeconds by option("--timeout-seconds", help = "Longest wait for an answer (default: 20).").long()
        .restrictTo(1L..600L).default(20)

    init {
        versionOption(VERSION)
        subcommands(
            catalogueCommand(),
            entryCommand(),
            versionCommand(),
            domainCommand(),
            Status(),
            Dump(),
            Watch(),
            Queues(),
            CompletionCommand(),
        )
    }

    override fun help(context: Context): String = "Operate Berylpoint through its catalogue."

    override fun helpEpilog(context: Context): String = "Exit codes:\n\n" +
        ExitCode.entries.joinToString("\n\n") { "${it.code}: ${it.meaning}" }

    override fun run() {
        currentContext.obj = Session(::newClient, ::newOpenClient, time, pause)
    }

    /** Made when a command first calls an instance, so that `catalogue check` needs neither address nor token. */
    private fun newClient(): OperatorClient {
        val text = token ?: tokenFile?.let { file ->
            if (!file.canRead()) throw UsageError("--token-file ${file.path} can't be read")
            file.readLines().firstOrNull()?.trim()
        }
        if (text.isNullOrEmpty()) throw UsageError("a token is needed: give --token-file or --token")
        return OperatorClient(addresses(), text, Duration.ofSeconds(timeoutSeconds))
    }

    /** For routes that need no token. */
    private fun newOpenClient() = OperatorClient(addresses(), token = "", Duration.ofSeconds(timeoutSeconds))

    private fun addresses() = address.split(',').map { it.trim().trimEnd('/') }.filter { it.isNotEmpty() }

    private companion object {
        const val VERSION = "0.1.0"
    }
}
