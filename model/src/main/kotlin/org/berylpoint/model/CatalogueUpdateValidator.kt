package org.berylpoint.model

import org.berylpoint.model.CatalogueChange.BringBack
import org.berylpoint.model.CatalogueChange.EndMove
import org.berylpoint.model.CatalogueChange.MoveTraffic
import org.berylpoint.model.CatalogueChange.PutEntry
import org.berylpoint.model.CatalogueChange.RetireEntry
import org.berylpoint.model.CatalogueChange.TakeOut

/**
 * Validates a catalogue update against the catalogue [before] it.
 *
 * The changes of one update take effect together, so each is checked against the entries after the update: an entry
 * and the move to it may be in one update, in any order.
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
        headerFaults() + repeatedSubjects() + puts.flatMap { CatalogueEntryValidator(it).faults() } +
            puts.flatMap(::conflictsWithOtherEntries) + changes.flatMap(::referenceFaults) + movesWithoutVersions()
        ).distinct()

    private fun headerFaults(): List<CatalogueFault> = listOfNotNull(
        CatalogueFault("update", "expectedVersion", "${update.expectedVersion}", "the version ${before.version}")
            .takeUnless { update.expectedVersion == before.version },
        CatalogueFault("update", "changes", "[]", "at least one change").takeIf { changes.isEmpty() },
    )

    /** Subjects with more than one change: these would contradict each other or depend on their order. */
    private fun repeatedSubjects(): List<CatalogueFault> = changes.groupBy(::subjectOf).filterValues { it.size > 1 }
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

    /** Conflicts of an entry with other entries: equal versions or servers, or a class of mixed kind or idempotence. */
    private fun conflictsWithOtherEntries(entry: CatalogueEntry): List<CatalogueFault> {
        val subject = "entry ${entry.name}"
        val others = after.entries.values.filter { it.name != entry.name }
        val sameClass = others.filter { it.requestClass == entry.requestClass }
        return listOfNotNull(
            sameClass.firstOrNull { it.version == entry.version }?.let {
                CatalogueFault(subject, "version", "${entry.version}", "a version that entry ${it.name} does not have")
            },
            sameClass.firstOrNull { it.kind != entry.kind }?.let {
                CatalogueFault(subject, "kind", "${entry.kind}", "${it.kind} as in entry ${it.name} of the same class")
            },
            // If only one version of a class is idempotent, a non-idempotent request could run twice during a move.
            sameClass.firstOrNull { it.limits.idempotent != entry.limits.idempotent }?.let {
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

    private fun referenceFaults(change: CatalogueChange): List<CatalogueFault> = when (change) {
        is PutEntry -> emptyList()
        is RetireEntry -> listOfNotNull(retirementFault(change.name))
        is TakeOut -> listOfNotNull(unknownDomainFault(change.domain))
        is BringBack -> listOfNotNull(unknownDomainFault(change.domain))
        is MoveTraffic -> moveFaults(change)
        is EndMove -> endMoveFaults(change)
    }

    private fun unknownDomainFault(domain: FailureDomain): CatalogueFault? {
        val known = after.domains + before.domains + instanceDomains
        return CatalogueFault("domain $domain", "domain", "$domain", oneOf(known.map { it.name }))
            .takeUnless { domain in known }
    }

    /** Rejects retiring an entry that serves its class's traffic while another version of the class remains. */
    private fun retirementFault(name: EntryName): CatalogueFault? {
        val subject = "entry $name"
        val entry = before.entries[name]
            ?: return CatalogueFault(subject, "name", "$name", oneOf(before.entries.keys.map { it.value }))
        val classRemains = after.entriesOf(entry.requestClass).isNotEmpty()
        val move = before.moves[entry.requestClass]
        val isMoving = move?.state == VersionMove.State.RUNNING
        return when {
            isMoving && (entry.version == move.to || entry.version == move.from) ->
                CatalogueFault(subject, "version", "${entry.version}", "a version that no running move uses")

            classRemains && !isMoving && move != null && before.servingVersion(entry.requestClass) == entry.version ->
                CatalogueFault(subject, "version", "${entry.version}", "a version that traffic has moved away from")

            else -> null
        }
    }

    private fun moveFaults(change: MoveTraffic): List<CatalogueFault> {
        val subject = "move of ${change.requestClass}"
        val versions = after.entriesOf(change.requestClass).map { it.version.value }
        if (versions.isEmpty()) {
            val classes = after.entries.values.map { it.requestClass.name }
            return listOf(CatalogueFault(subject, "requestClass", "${change.requestClass}", oneOf(classes)))
        }
        val running = before.moves[change.requestClass]?.takeIf { it.state == VersionMove.State.RUNNING }
        val source = after.sourceVersion(change)
        return listOfNotNull(
            CatalogueFault(subject, "to", "${change.to}", oneOf(versions)).takeUnless { change.to.value in versions },
            running?.takeIf { it.to != change.to }?.let {
                CatalogueFault(subject, "to", "${change.to}", "${it.to}, to which a move is running, or its end first")
            },
            CatalogueFault(subject, "to", "${change.to}", "a version other than the one that serves the class")
                .takeIf { running == null && (source == change.to || versions.distinct() == listOf(change.to.value)) },
            CatalogueFault(
                subject,
                "from",
                versions.joinToString(),
                "one version beside ${change.to} before a first move",
            )
                .takeIf { source == null && versions.count { it != change.to.value } > 1 },
            CatalogueFault(subject, "completeByEpochMillis", "${change.completeByEpochMillis}", "a time after 1970")
                .takeUnless { change.completeByEpochMillis > 0 },
        )
    }

    private fun endMoveFaults(change: EndMove): List<CatalogueFault> {
        val subject = "move of ${change.requestClass}"
        val state = before.moves[change.requestClass]?.state
        return listOfNotNull(
            CatalogueFault(subject, "requestClass", "${change.requestClass}", "a class with a running move")
                .takeUnless { state == VersionMove.State.RUNNING },
            CatalogueFault(subject, "state", "${change.state}", "DONE or TAKEN_BACK")
                .takeIf { change.state == VersionMove.State.RUNNING },
        )
    }

    /**
     * Moves that would lose a version because its entry is replaced by one of another class or version.
     *
     * A running move needs both of its versions, an ended one the version that serves the class.
     */
    private fun movesWithoutVersions(): List<CatalogueFault> = before.moves.flatMap { (requestClass, move) ->
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
        else -> "one of " + names.distinct().sorted().take(MAX_LISTED_NAMES).joinToString()
    }

    private companion object {
        /** Enough for an operator to spot a misspelt name without listing all names of a large fleet. */
        const val MAX_LISTED_NAMES = 20
    }
}
