package org.berylpoint.entry.gateway.site

import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.serving.RegisteredServer
import org.berylpoint.platform.store.StoreRevision
import org.berylpoint.platform.store.StoreRow
import org.berylpoint.platform.wire.ServerDecoder
import org.berylpoint.platform.wire.StoreNames

/**
 * The servers' entries as a part of the [SiteView]. Not safe for use by several threads at once.
 *
 * After a restore of the store an entry that it lacks is kept for as long as servers take to write it again; one that
 * it shows in an older state, or again after the server has left, is ignored until the server writes it again.
 */
internal class ServerRows(
    private val clocks: Clocks,
    private val log: DecisionLog,
    private val eras: StoreEras,
    private val view: () -> SiteView,
    private val setView: (SiteView) -> Unit,
) {
    private class Departure(val revision: StoreRevision, val startedAtMillis: Long)

    /** The entries that were applied last, of the servers known. */
    private val applied = HashMap<BackendServerId, StoreRow>()

    /** Servers that left, so that an older row does not bring them back. */
    private val departures = LinkedHashMap<BackendServerId, Departure>()

    /** Rows of a restored store that are older than what is known of their servers. */
    private val heldBack = HashMap<BackendServerId, StoreRow>()

    /** Number of rows that are held back. */
    val heldBackCount: Int get() = heldBack.size

    private var lastStoreFailureAtMillis = Long.MIN_VALUE / 2

    /** Era of the last complete read. */
    private var readEra = 0L

    fun recordStoreFailure() {
        lastStoreFailureAtMillis = clocks.steadyMillis
    }

    /** Removes the servers whose entries a complete read as of [revision] no longer has. */
    fun removeAbsent(keys: Set<String>, revision: StoreRevision) {
        readEra = revision.era
        heldBack.keys.retainAll { it.value in keys }
        val (lost, gone) = view().servers.values.filter { it.entry.id.value !in keys }
            .partition { it.revision.era < revision.era }
        if (lost.isNotEmpty()) {
            log.event(
                "site",
                "servers are kept although the restored store lacks their entries",
                "servers" to lost.map { it.entry.id.value },
            )
        }
        for (server in gone) {
            if (revision > server.revision) recordDeparture(server.entry.id, revision)
            handleDeletion(server.entry.id)
        }
    }

    fun apply(row: StoreRow, isLogged: Boolean) {
        val id = BackendServerId(row.key)
        val current = view().servers[id]
        val entry = if (row.isDeleted) null else ServerDecoder.server(row.key, row.value)
        val departure = departures[id]
        if (departure != null && isBeforeDeparture(row, departure, entry)) return holdBack(id, row, departure.revision)
        val order = current?.let { compare(row, entry, it) } ?: 1
        when {
            current != null && order < 0 -> holdBack(id, row, current.revision)
            // The same write, as the store has it before or after a restore: its age does not change.
            current != null && order == 0 && row.revision.era != current.revision.era -> restamp(id, current, row)
            row.isDeleted -> {
                heldBack.remove(id)
                recordDeparture(id, row.revision)
                handleDeletion(id)
            }
            entry == null -> if (current != null) removeServer(id, "its entry is malformed")
            else -> replaceEntry(id, current, entry, row, isLogged)
        }
    }

    /**
     * Compares [row] with what is known of its server: positive if it is newer. Over a restore its start times
     * and its own count of its entries order these, whatever numbers the rows were given.
     */
    private fun compare(row: StoreRow, entry: RegisteredServer?, current: ObservedServer): Int {
        val byRevision = eras.compare(row.revision, current.revision)
        val known = applied[current.entry.id]
        if (entry == null || known == null || row.revision.era == current.revision.era) return byRevision
        val byStart = entry.startedAtMillis.compareTo(current.entry.startedAtMillis)
        if (byStart != 0) return if (byStart > 0) 1 else byRevision
        return when (val byCount = compareCounts(row, known)) {
            null -> byRevision
            0 -> if (row.value.contentEquals(known.value)) 0 else byRevision
            else -> byCount
        }
    }

    /** Compares the numbers of entries that the server had written; null unless both name theirs. */
    private fun compareCounts(row: StoreRow, known: StoreRow): Int? {
        val count = ServerDecoder.entryCount(row.value) ?: return null
        return ServerDecoder.entryCount(known.value)?.let(count::compareTo)
    }

    /** Whether [row] shows a server as it was before its [departure]. */
    private fun isBeforeDeparture(row: StoreRow, departure: Departure, entry: RegisteredServer?): Boolean = when {
        row.revision.era == departure.revision.era -> row.revision.number < departure.revision.number
        row.revision.era < departure.revision.era -> true
        row.isDeleted || !eras.isFromCopy(row.revision) -> false
        // A number says little here: the copy may be of either side of the departure, or of another era.
        else -> entry == null || entry.startedAtMillis <= departure.startedAtMillis
    }

    private fun holdBack(id: BackendServerId, row: StoreRow, known: StoreRevision) {
        if (row.revision.era <= known.era || row.isDeleted) return
        if (heldBack.put(id, row)?.revision == row.revision) return
        log.event(
            "site",
            "a server's row of the restored store is held back",
            "server" to id.value,
            "revision" to row.revision,
            "known" to known,
            "lowest" to eras.lowest,
        )
    }

    private fun restamp(id: BackendServerId, current: ObservedServer, row: StoreRow) {
        if (row.revision < current.revision) return
        heldBack.remove(id)
        applied[id] = row
        setView(
            view().copy(servers = (view().servers + (id to current.copy(revision = row.revision))).toPersistentMap()),
        )
    }

    private fun replaceEntry(
        id: BackendServerId,
        current: ObservedServer?,
        entry: RegisteredServer,
        row: StoreRow,
        isLogged: Boolean,
    ) {
        heldBack.remove(id)
        applied[id] = row
        val observed = ObservedServer(entry, clocks.steadyMillis, row.revision)
        setView(
            view().copy(
                servers = (view().servers + (id to observed)).toPersistentMap(),
                missingServers = (view().missingServers - id).toPersistentSet(),
            ),
        )
        if (isLogged && current?.entry?.copy(coldRemainingMillis = 0) != entry.copy(coldRemainingMillis = 0)) {
            log.event(
                "site",
                if (entry.isDraining) "a server drains" else "a server is known",
                "server" to id.value, "service" to entry.service.value, "address" to entry.address,
                "domain" to entry.domain.name, "cold" to entry.coldRemainingMillis, "revision" to row.revision,
                "version" to entry.version.value, "reclaimable" to entry.isReclaimable,
            )
        }
    }

    fun describeAll(): List<String> = view().servers.values.map { server ->
        with(server.entry) {
            "${id.value} ${service.value} ${version.value} $address ${domain.name} revision ${server.revision}" +
                (if (isDraining) " draining" else "") +
                (if (coldRemainingMillis > 0) " cold for $coldRemainingMillis ms" else "") +
                (if (isReclaimable) " reclaimable" else "")
        }
    }

    private fun recordDeparture(id: BackendServerId, revision: StoreRevision) {
        // Of a server that was never known here, no start time counts as a later one.
        val startedAt = view().servers[id]?.entry?.startedAtMillis ?: departures[id]?.startedAtMillis ?: Long.MAX_VALUE
        departures.remove(id)
        departures[id] = Departure(revision, startedAt)
        if (departures.size > MAX_DEPARTED) departures.remove(departures.keys.first())
    }

    private fun handleDeletion(id: BackendServerId) {
        if (!isRecovering()) return removeServer(id, "its entry was deleted")
        if (id !in view().servers || id in view().missingServers) return
        setView(view().copy(missingServers = (view().missingServers + id).toPersistentSet()))
        val sinceFailure = clocks.steadyMillis - lastStoreFailureAtMillis
        log.event("site", "a server's entry is missing", "server" to id.value, "sinceStoreFailure" to sinceFailure)
    }

    fun removeMissing() {
        if (view().missingServers.isEmpty() || isRecovering()) return
        for (id in view().missingServers) removeServer(id, "its entry is missing after the store's recovery")
    }

    private fun removeServer(id: BackendServerId, cause: String) {
        if (id !in view().servers) return
        applied.remove(id)
        setView(
            view().copy(
                servers = (view().servers - id).toPersistentMap(),
                missingServers = (view().missingServers - id).toPersistentSet(),
            ),
        )
        log.event("site", "a server is gone", "server" to id.value, "cause" to cause)
    }

    /** Applies rows that turn out to be newer than the restore, and removes servers that did not write again. */
    fun settle() {
        heldBack.values.toList().forEach { apply(it, isLogged = true) }
        if (readEra != eras.current || eras.isRecovering) return
        val lost = view().servers.values.filter { it.revision.era < eras.current && it.entry.id !in heldBack }
        for (server in lost) removeServer(server.entry.id, "its entry was not written again after a restore")
    }

    /**
     * Whether [row], of an older era, counts if a peer still goes by it. A server that did not write again in time is
     * given up by all, each at a moment of its own, so it must not come back from one that is later.
     */
    fun takesRetained(row: StoreRow): Boolean =
        eras.isRecovering || row.isDeleted || BackendServerId(row.key) in view().servers

    /** Rows of an older era that the store lacks, shows in an older state, or shows again after a departure. */
    fun retained(): List<StoreRow> {
        // Before the table was read in the new era, nothing is known of what it lacks.
        if (readEra != eras.current) return emptyList()
        val departed = heldBack.keys.mapNotNull { id ->
            departures[id]?.let { StoreRow(StoreNames.SERVERS, id.value, ByteArray(0), it.revision, isDeleted = true) }
        }
        return applied.values.filter { it.revision.era < eras.current } + departed
    }

    private fun isRecovering() = clocks.steadyMillis - lastStoreFailureAtMillis < SiteState.RECOVERY_MILLIS

    private companion object {
        const val MAX_DEPARTED = 1_000
    }
}
