package org.berylpoint.testkit.demo

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.pair
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.berylpoint.testkit.check.InvariantChecker
import org.berylpoint.testkit.load.EntryAddress
import org.berylpoint.testkit.load.LoadPlan
import org.berylpoint.testkit.load.LoadRunner
import org.berylpoint.testkit.standin.Journal
import org.berylpoint.testkit.standin.SceneEvent
import kotlin.time.Duration.Companion.seconds

/**
 * The scene of `bin/demo`: load through all entry instances, a reclaim of one backend server under load, and the
 * judgement of the journals. `bin/demo` starts and stops the processes.
 */
internal class DemoCommand : CliktCommand(name = "demo") {
    private val entries by option("--entry", help = "listeners of an entry instance for callers and admin; repeatable")
        .pair().multiple(required = true)
    private val platform by option(help = "base address of the platform's stand-in").required()
    private val controls by option("--control", help = "control address of a backend server; repeatable")
        .multiple(required = true)
    private val reclaimed by option(help = "name of the backend server to reclaim").required()
    private val reclaimedDomain by option(help = "its failure domain").required()
    private val reclaimedAddress by option(help = "its address").required()
    private val reclaimedEntry by option(help = "its catalogue entry").required()
    private val reclaimedControl by option(help = "its control address").required()
    private val seconds by option(help = "how long to send load").int().default(20)
    private val started by option(help = "file to create when the load starts").file().required()

    override fun help(context: Context): String = "Runs load and a reclaim against running processes and judges them."

    private val standIns = StandInClient()

    override fun run() = runBlocking {
        val addresses = entries.map { (callers, admin) -> EntryAddress(callers, admin) }
        awaitReady(addresses)
        val journal = Journal { System.currentTimeMillis() }
        started.createNewFile()
        coroutineScope {
            launch { reclaim(journal) }
            LoadRunner(LoadPlan(addresses, seconds), journal).run()
        }
        val events = journal.events() + controls.flatMap { standIns.journal(it) }
        val report = InvariantChecker(events).check()
        echo(OutcomeTable(report.classes).toText())
        report.violations.forEach { echo("violation: ${it.kind} ${it.call} ${it.detail}") }
        echo(if (report.violations.isEmpty()) "demo: every promise held" else "demo: a promise was broken")
        if (report.violations.isNotEmpty()) throw ProgramResult(1)
    }

    private suspend fun awaitReady(addresses: List<EntryAddress>) {
        repeat(READY_TRIES) {
            if (addresses.all { standIns.isReady(it.admin) }) return
            delay(READY_PAUSE)
        }
        echo("demo: the entry instances are not ready", err = true)
        throw ProgramResult(2)
    }

    private suspend fun reclaim(journal: Journal) {
        delay(RECLAIM_AFTER)
        val name = reclaimed
        standIns.announceReclaim(platform, name, reclaimedDomain, reclaimedAddress, reclaimedEntry, NOTICE)
        journal.add(SceneEvent.ServerLeaves(journal.now(), name))
        echo("demo: announced the reclaim of $name in $NOTICE")
        delay(NOTICE)
        standIns.kill(reclaimedControl)
        echo("demo: $name was reclaimed")
    }

    private companion object {
        const val READY_TRIES = 100
        val READY_PAUSE = 0.2.seconds
        val RECLAIM_AFTER = 5.seconds
        val NOTICE = 8.seconds
    }
}

public fun main(args: Array<String>): Unit = DemoCommand().main(args)
