package org.berylpoint.ctl

import com.github.ajalt.clikt.parameters.arguments.argument
import org.berylpoint.model.CatalogueChange
import org.berylpoint.model.EntryName

internal fun entryCommand() = GroupCommand("entry", "Change single entries.", listOf(Retire()))

private class Retire :
    ChangeCommand(
        "retire",
        "Remove an entry; its servers get no new work and finish what they run.",
        listOf(
            "berylctl entry retire chat-v1 --wait",
        ),
    ) {
    private val entry by argument("ENTRY")

    override fun run() = commit { listOf(CatalogueChange.RetireEntry(EntryName(entry))) }
}
