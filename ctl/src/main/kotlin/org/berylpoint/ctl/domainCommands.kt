package org.berylpoint.ctl

import com.github.ajalt.clikt.parameters.arguments.argument
import org.berylpoint.model.CatalogueChange
import org.berylpoint.model.FailureDomain

internal fun domainCommand() = GroupCommand(
    "domain",
    "Take failure domains out of service and bring them " +
        "back.",
    listOf(TakeOut(), BringBack()),
)

private class TakeOut :
    ChangeCommand(
        "take-out",
        "Stop new work to a failure domain.",
        listOf(
            "berylctl domain take-out muc-a --wait",
        ),
    ) {
    private val domain by argument("DOMAIN")

    override fun run() = commit { catalogue ->
        val target = FailureDomain(domain)
        if (catalogue.isInService(target)) listOf(CatalogueChange.TakeOut(target)) else emptyList()
    }
}

private class BringBack :
    ChangeCommand(
        "bring-back",
        "Allow new work to a failure domain again.",
        listOf(
            "berylctl domain bring-back muc-a --wait",
        ),
    ) {
    private val domain by argument("DOMAIN")

    override fun run() = commit { catalogue ->
        val target = FailureDomain(domain)
        // A domain that is in service needs no change, and one that nobody knows is refused by the instance.
        val isBack = catalogue.isInService(target) && target in catalogue.domains
        if (isBack) emptyList() else listOf(CatalogueChange.BringBack(target))
    }
}
