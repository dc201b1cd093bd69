package org.berylpoint.testkit.load

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.pair
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import kotlinx.coroutines.runBlocking
import org.berylpoint.testkit.standin.Journal

/** Sends load to entry instances and writes the callers' journal. */
internal class LoadCommand : CliktCommand(name = "load") {
    private val entries by option("--entry", help = "listeners of an entry instance for callers and admin; repeatable")
        .pair().multiple(required = true)
    private val seconds by option(help = "how long to send").int().default(20)
    private val chats by option(help = "chats per second").double().default(8.0)
    private val bookings by option(help = "bookings per second").double().default(5.0)
    private val maxTokens by option(help = "longest answer of a chat, in tokens").int().default(150)
    private val deadlineMillis by option(help = "deadline of each call, in milliseconds").long().default(20_000)
    private val seed by option(help = "seed of the random choices").int().default(1)
    private val journalFile by option("--journal", help = "file to write the callers' events to").file().required()

    override fun help(context: Context): String = "Sends chats and bookings and journals what the callers see."

    override fun run() {
        // Wall clock, so that the times compare with those of the stand-in servers' journals.
        val journal = Journal { System.currentTimeMillis() }
        val plan = LoadPlan(
            entries = entries.map { (callers, admin) -> EntryAddress(callers, admin) },
            seconds = seconds,
            chatsPerSecond = chats,
            bookingsPerSecond = bookings,
            maxTokens = maxTokens,
            deadlineMillis = deadlineMillis,
            seed = seed,
        )
        runBlocking { LoadRunner(plan, journal).run() }
        journal.events().writeCallers(journalFile)
        echo("load: wrote ${journal.events().size} events to $journalFile")
    }
}

public fun main(args: Array<String>): Unit = LoadCommand().main(args)
