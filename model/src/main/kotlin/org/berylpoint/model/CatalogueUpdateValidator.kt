package org.berylpoint.model

import org.berylpoint.model.CatalogueChange.BringBack
import org.berylpoint.model.CatalogueChange.EndMove
import org.berylpoint.model.CatalogueChange.MoveTraffic
import org.berylpoint.model.CatalogueChange.PutEntry
import org.berylpoint.model.CatalogueChange.RetireEntry
import org.berylpoint.model.CatalogueChange.TakeOut

/**
 * The rules for a whole update.
 *
 * Changes of one update take force together, so each is checked against the entries after the update: an entry and
 * the move to it may come in one update, in any order.
 */
internal class CatalogueUpdateValidator(
    private val before: Catalogue,
    private val update: CatalogueUpdate,
    private val instanceDomains: Set<FailureDomain>,
) {
    private val changes = update.changes
    private val puts = changes.filterIsInstance<PutEntry>().map { it.entry }
    private val retired = changes.filterIsInstance<RetireEntry>().map { it.name }
    private val after = before.copy(entries = before.entries + puts.associateBy { it.name } - retired.toSet())

    fun faults(): List<CatalogueFault> = (
        header() + repeats() + puts.flatMap { CatalogueEntryValidator(it).faults() } + puts.flatMap(::sharedNames) +
            changes.flatMap(::references) + strandedMoves()
        ).distinct()

    private fun header(): List<CatalogueFault> = listOfNotNull(
        CatalogueFault("update", "expectedVersion", "${update.expectedVersion}", "the version ${before.version}")
            .takeUnless { update.expectedVersion == before.version },
        CatalogueFault("update", "changes", "[]", "at least one change").takeIf { changes.isEmpty() },
    )

    /** Two changes to one thing contradict each other or depend on their order. */
    private fun repeats(): List<CatalogueFault> = changes.groupBy(::subjectOf).filterValues { it.size > 1 }
        .map { (subject, same) ->
            CatalogueFault(subject, "changes", "${same.size} changes", "one change to it in an update")
        }

    private fun subjectOf(change: CatalogueChange): String = when (change) {
        is PutEntry -> "entry ${change.entry.name}"
        is RetireEntry -> "entry ${change.name}"
        is TakeOut -> "domain ${change.domain}"
        is BringBack -> "domain ${change.domain}"
        is MoveTraffic -> "move of ${change.requestClass}"
        is EndMove -> "move of ${change.requestClass}"
    }

    /** Faults of an entry against the other entries: servers, versions and the nature of its class. */
    private fun sharedNames(entry: CatalogueEntry): List<CatalogueFault> {
        val subject = "entry ${entry.name}"
        val others = after.entries.values.filter { it.name != entry.name }
        val peers = others.filter { it.requestClass == entry.requestClass }
        return listOfNotNull(
            peers.firstOrNull { it.version == entry.version }?.let {
                CatalogueFault(subject, "version", "${entry.version}", "a version that entry ${it.name} does not have")
            },
            peers.firstOrNull { it.kind != entry.kind }?.let {
                CatalogueFault(subject, "kind", "${entry.kind}", "${it.kind} as in entry ${it.name} of the same class")
            },
            // A class that may be run again on one version only could run a booking twice during a move.
            peers.firstOrNull { it.limits.idempotent != entry.limits.idempotent }?.let {
                val expected = "${it.limits.idempotent} as in entry ${it.name} of the same class"
                CatalogueFault(subject, "limits.idempotent", "${entry.limits.idempotent}", expected)
            },
        ) + repeatedServers(entry, others)
    }

    private fun repeatedServers(entry: CatalogueEntry, others: List<CatalogueEntry>): List<CatalogueFault> {
        val subject = "entry ${entry.name}"
        val ids = entry.servers.groupingBy { it.id }.eachCount()
        val addresses = entry.servers.groupingBy { it.address }.eachCount()
        val within = ids.filterValues { it > 1 }.keys.map {
            CatalogueFault(subject, "servers[$it].id", "$it", "an id that no other server of the entry has")
        } + addresses.filterValues { it > 1 }.keys.map {
            CatalogueFault(subject, "servers.address", it, "an address that no other server of the entry has")
        }
        val across = others.flatMap { other ->
            other.servers.filter { it.id in ids }.map {
                CatalogueFault(
                    subject,
                    "servers[${it.id}].id",
                    "${it.id}",
                    "an id that entry ${other.name} does not have",
                )
            } + other.servers.filter { it.address in addresses }.map {
                val expected = "an address that entry ${other.name} does not have"
                CatalogueFault(subject, "servers.address", it.address, expected)
            }
        }
        return within + across
    }

    private fun references(change: CatalogueChange): List<CatalogueFault> = when (change) {
        is PutEntry -> emptyList()
        is RetireEntry -> listOfNotNull(retirement(change.name))
        is TakeOut -> listOfNotNull(knownDomain(change.domain))
        is BringBack -> listOfNotNull(knownDomain(change.domain))
        is MoveTraffic -> move(change)
        is EndMove -> end(change)
    }

    private fun knownDomain(domain: FailureDomain): CatalogueFault? {
        val known = after.domains + before.domains + instanceDomains
        return CatalogueFault("domain $domain", "domain", "$domain", oneOf(known.map { it.name }))
            .takeUnless { domain in known }
    }

    /** An entry that still serves its class's traffic must not go while another version stays behind. */
    private fun retirement(name: EntryName): CatalogueFault? {
        val subject = "entry $name"
        val entry = before.entries[name]
            ?: return CatalogueFault(subject, "name", "$name", oneOf(before.entries.keys.map { it.value }))
        val stays = after.entriesOf(entry.requestClass).isNotEmpty()
        val move = before.moves[entry.requestClass]
        val isMoving = move?.state == VersionMove.State.RUNNING
        return when {
            isMoving && (entry.version == move.to || entry.version == move.from) ->
                CatalogueFault(subject, "version", "${entry.version}", "a version that no running move uses")

            stays && !isMoving && move != null && before.servingVersion(entry.requestClass) == entry.version ->
                CatalogueFault(subject, "version", "${entry.version}", "a version that traffic has moved away from")

            else -> null
        }
    }

    private fun move(change: MoveTraffic): List<CatalogueFault> {
        val subject = "move of ${change.requestClass}"
        val versions = after.entriesOf(change.requestClass).map { it.version.value }
        if (versions.isEmpty()) {
            val classes = after.entries.values.map { it.requestClass.name }
            return listOf(CatalogueFault(subject, "requestClass", "${change.requestClass}", oneOf(classes)))
        }
        val running = before.moves[change.requestClass]?.takeIf { it.state == VersionMove.State.RUNNING }
        val from = after.sourceVersion(change)
        return listOfNotNull(
            CatalogueFault(subject, "to", "${change.to}", oneOf(versions)).takeUnless { change.to.value in versions },
            running?.takeIf { it.to != change.to }?.let {
                CatalogueFault(subject, "to", "${change.to}", "${it.to}, to which a move is running, or its end first")
            },
            CatalogueFault(subject, "to", "${change.to}", "a version other than the one that serves the class")
                .takeIf { running == null && (from == change.to || versions.distinct() == listOf(change.to.value)) },
            CatalogueFault(
                subject,
                "from",
                versions.joinToString(),
                "one version beside ${change.to} before a first move",
            )
                .takeIf { from == null && versions.count { it != change.to.value } > 1 },
            CatalogueFault(subject, "completeByEpochMillis", "${change.completeByEpochMillis}", "a time after 1970")
                .takeUnless { change.completeByEpochMillis > 0 },
        )
    }

    private fun end(change: EndMove): List<CatalogueFault> {
        val subject = "move of ${change.requestClass}"
        val state = before.moves[change.requestClass]?.state
        return listOfNotNull(
            CatalogueFault(subject, "requestClass", "${change.requestClass}", "a class with a running move")
                .takeUnless { state == VersionMove.State.RUNNING },
            CatalogueFault(subject, "state", "${change.state}", "DONE or TAKEN_BACK")
                .takeIf { change.state == VersionMove.State.RUNNING },
        )
    }

    /** An entry can also lose its class or version by being replaced; moves must keep both of their versions. */
    private fun strandedMoves(): List<CatalogueFault> = before.moves.flatMap { (requestClass, move) ->
        val needed = when (move.state) {
            VersionMove.State.RUNNING -> listOf(move.from, move.to)
            VersionMove.State.DONE -> listOf(move.to)
            VersionMove.State.TAKEN_BACK -> listOf(move.from)
        }
        val versions = after.entriesOf(requestClass).map { it.version }
        val replaced = puts.mapNotNull { before.entries[it.name] }.filter { it.requestClass == requestClass }
        needed.filter { version -> version !in versions && replaced.any { it.version == version } }.map {
            CatalogueFault("move of $requestClass", "version", "$it", "an entry that keeps this version")
        }
    }

    private fun oneOf(names: Collection<String>): String = when {
        names.isEmpty() -> "nothing: there is none yet"
        else -> "one of " + names.distinct().sorted().take(MAX_NAMES).joinToString()
    }

    private companion object {
        /** Enough for an operator to see a misspelt name without filling the screen at fleet size. */
        const val MAX_NAMES = 20
    }
}
