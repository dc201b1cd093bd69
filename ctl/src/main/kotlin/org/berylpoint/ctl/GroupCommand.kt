package org.berylpoint.ctl

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands

/** A command that only groups others. */
internal class GroupCommand(name: String, private val text: String, commands: List<CliktCommand>) :
    CliktCommand(name = name) {
    init {
        subcommands(commands)
    }

    override fun help(context: Context): String = text

    override fun run() = Unit
}
