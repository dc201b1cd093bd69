package org.berylpoint.entry.gateway.site

import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.serving.RolloutOrder
import org.berylpoint.platform.store.StoreRevision
import org.berylpoint.platform.store.StoreRow
import org.berylpoint.platform.wire.ConfigDecoder
import org.berylpoint.platform.wire.StoreNames

/**
 * The operators' rows as a part of the [SiteView]. Not safe for use by several threads at once.
 *
 * After a restore of the store a row that is newer than the store's stays in force: a configuration until a newer
 * version comes, a deletion until the row is written again, and an order for as long as operators take to do so.
 */
internal class OperatorRows(
    private val clocks: Clocks,
    private val log: DecisionLog,
    private val eras: StoreEras,
    private val view: () -> SiteView,
    private val setView: (SiteView) -> Unit,
) {
    /** The rows that were applied last, deletions included. */
    private val applied = HashMap<String, StoreRow>()

    /** Rows of a restored store that are older than those applied. */
    private val heldBack = HashMap<String, StoreRow>()

    /** Numbers of the rows that the deletions in [applied] ended, by key, where they are known. */
    private val endedNumbers = HashMap<String, Long>()

    /** Rows of the store that have ended such a deletion, by key. */
    private val settled = HashMap<String, StoreRevision>()

    /** The row of the configuration in force. */
    private var configRow: StoreRow? = null

    /** Number of rows that are held back. */
    val heldBackCount: Int get() = heldBack.size

    /** Era of the last complete read. */
    private var readEra = 0L

    /** Removes the orders whose rows a complete read as of [revision] no longer has. */
    fun removeAbsent(keys: Set<String>, revision: StoreRevision) {
        readEra = revision.era
        heldBack.keys.retainAll(keys)
        for (row in applied.values.filter { !it.isDeleted && it.key !in keys && it.key != StoreNames.CONFIG_KEY }) {
            // A restored store may lack a row that was written after the copy was taken; see [settle].
            if (row.revision.era == revision.era) remove(row.key, revision)
        }
    }

    private fun remove(key: String, revision: StoreRevision) {
        noteEnd(key, applied[key])
        applied[key] = StoreRow(StoreNames.OPERATORS, key, ByteArray(0), revision, isDeleted = true)
        removeOrder(key)
    }

    fun apply(row: StoreRow) {
        val known = if (row.key == StoreNames.CONFIG_KEY) configRow else applied[row.key]
        val order = known?.let { compare(row, it) } ?: 1
        when {
            order > 0 -> applyNewer(row, known)
            known == null || row.revision.era <= known.revision.era -> Unit
            // The same write, as the restored store has it.
            order == 0 -> restamp(row)
            else -> holdBack(row, known)
        }
    }

    /**
     * Compares two states of a row: positive if [row] is newer than [known]. Versions order configurations over a
     * restore too, whatever numbers their rows were given.
     */
    private fun compare(row: StoreRow, known: StoreRow): Int {
        val byRevision = eras.compare(row.revision, known.revision)
        if (row.key != StoreNames.CONFIG_KEY || row.revision.era == known.revision.era) return byRevision
        val version = ConfigDecoder.config(row.value).getOrNull()?.version ?: return byRevision
        val byVersion = version.compareTo(view().config?.version ?: return byRevision)
        if (byVersion != 0) return byVersion
        return if (row.value.contentEquals(known.value)) 0 else byRevision
    }

    private fun holdBack(row: StoreRow, known: StoreRow) {
        if (heldBack.put(row.key, row)?.revision == row.revision) return
        log.event(
            "site",
            "a row of the restored store is held back",
            "key" to row.key,
            "revision" to row.revision,
            "known" to known.revision,
            "lowest" to eras.lowest,
        )
    }

    private fun restamp(row: StoreRow) {
        applied[row.key] = row
        heldBack.remove(row.key)
        if (row.key == StoreNames.CONFIG_KEY) configRow = row
        if (StoreNames.isRollout(row.key)) {
            ConfigDecoder.rollout(row.value, row.revision)?.let {
                noteRolloutRow(it, row)
            }
        }
    }

    private fun applyNewer(row: StoreRow, known: StoreRow?) {
        applied[row.key] = row
        heldBack.remove(row.key)
        if (row.isDeleted) {
            // A process that started after the restore has read what a peer knows to be deleted.
            if (known != null && known.revision.era > row.revision.era) {
                if (eras.isRecovering) heldBack[row.key] = known
            } else {
                noteEnd(row.key, known)
            }
            return removeOrder(row.key)
        }
        val domain = StoreNames.takenOutDomain(row.key)
        when {
            row.key == StoreNames.CONFIG_KEY -> applyConfig(row)
            StoreNames.isRollout(row.key) -> applyRollout(row, known)
            domain != null -> takeOut(FailureDomain(domain), row)
        }
    }

    /** Whether [row] is the one that the deletion known ended, as the copy may show it; any other was written since. */
    private fun isEnded(row: StoreRow) = row.revision.number == endedNumbers[row.key]

    private fun noteEnd(key: String, ended: StoreRow?) {
        if (ended != null && !ended.isDeleted) endedNumbers[key] = ended.revision.number
    }

    private fun takeOut(domain: FailureDomain, row: StoreRow) {
        setView(view().copy(outOfServiceDomains = (view().outOfServiceDomains + domain).toPersistentSet()))
        log.event("site", "a failure domain is out of service", "domain" to domain.name, "revision" to row.revision)
    }

    private fun applyConfig(row: StoreRow) {
        ConfigDecoder.config(row.value).fold(
            ifLeft = {
                log.event("site", "ignoring an invalid configuration", "cause" to it, "revision" to row.revision)
            },
            ifRight = { config ->
                val currentVersion = view().config?.version
                if (currentVersion != null && config.version < currentVersion) return
                configRow = row
                setView(view().copy(config = config))
                log.event(
                    "site",
                    "a configuration is in force",
                    "version" to config.version,
                    "before" to currentVersion,
                )
            },
        )
    }

    private fun applyRollout(row: StoreRow, known: StoreRow?) {
        val order = ConfigDecoder.rollout(row.value, row.revision)
        if (order == null) {
            log.event("site", "ignoring a malformed rollout order", "key" to row.key, "revision" to row.revision)
            return
        }
        val current = view().rollouts[order.service]
        if (current != null && isWrittenAgain(order, current, known)) {
            log.event("site", "a rollout order was written again", "service" to order.service.value)
            return noteRolloutRow(order, row)
        }
        val seen = OrderRow(row.revision, clocks.steadyMillis)
        setView(
            view().copy(
                rollouts = view().rollouts.put(order.service, order),
                rolloutRows = view().rolloutRows.put(order.service, seen),
            ),
        )
        log.event("site", "a rollout is ordered", "service" to order.service.value, "to" to order.to.value)
    }

    /** Records that [row] holds the order in force for the service of [order]. */
    private fun noteRolloutRow(order: RolloutOrder, row: StoreRow) {
        val known = view().rolloutRows[order.service] ?: return
        val rows = view().rolloutRows.put(order.service, known.copy(revision = row.revision))
        setView(view().copy(rolloutRows = rows))
    }

    /** Whether [order] is [current] as operators write it again after a restore, and not a new order of the same. */
    private fun isWrittenAgain(order: RolloutOrder, current: RolloutOrder, known: StoreRow?): Boolean =
        current.era < order.era &&
            current.to == order.to &&
            current.durationMillis == order.durationMillis &&
            (eras.isRecovering || known == null || known.revision.era < order.era)

    private fun removeOrder(key: String) {
        val domain = StoreNames.takenOutDomain(key)?.takeIf { FailureDomain(it) in view().outOfServiceDomains }
        if (domain != null) {
            val others = (view().outOfServiceDomains - FailureDomain(domain)).toPersistentSet()
            setView(view().copy(outOfServiceDomains = others))
            log.event("site", "a failure domain is back in service", "domain" to domain)
        } else if (StoreNames.isRollout(key)) {
            val others = view().rollouts.filterKeys { !key.endsWith("/${it.value}") }.toPersistentMap()
            val rows = view().rolloutRows.filterKeys { it in others }.toPersistentMap()
            setView(view().copy(rollouts = others, rolloutRows = rows))
        }
    }

    /** Applies rows that turn out to be newer than the restore, and gives up orders that were not written again. */
    fun settle() {
        heldBack.values.toList().forEach(::apply)
        if (readEra != eras.current || eras.isRecovering) return
        for (row in heldBack.values.filter { applied[it.key]?.isDeleted == true && !isEnded(it) }) {
            if (row.key in endedNumbers) settled[row.key] = row.revision
            applyNewer(row, applied[row.key])
        }
        val orders = applied.values.filter {
            it.revision.era < eras.current && !it.isDeleted && it.key != StoreNames.CONFIG_KEY
        }
        for (row in orders) {
            log.event("site", "an order was not written again after a restore", "key" to row.key, "row" to row.revision)
            heldBack[row.key]?.let { applyNewer(it, row) }
                ?: remove(row.key, StoreRevision(eras.current, eras.lowest ?: 0))
        }
    }

    /** Whether the deletion of [key] stands against a row of the store. */
    private fun isStanding(key: String) = heldBack[key]?.let { eras.isRecovering || isEnded(it) } ?: false

    /**
     * Whether [row], of an older era, counts if a peer still goes by it. An order that was not written again in time is
     * given up by all, each at a moment of its own, so it must not come back from one that is later.
     */
    fun takesRetained(row: StoreRow): Boolean =
        eras.isRecovering || row.key == StoreNames.CONFIG_KEY || (row.isDeleted && !isSettled(row.key))

    private fun isSettled(key: String) = settled[key]?.let { it == applied[key]?.revision } ?: false

    /** Rows of an older era that the store lacks or shows in an older state. */
    fun retained(): List<StoreRow> {
        // Before the table was read in the new era, nothing is known of what it lacks.
        if (readEra != eras.current) return emptyList()
        val orders = applied.values.filter {
            it.key != StoreNames.CONFIG_KEY && it.revision.era < eras.current && (!it.isDeleted || isStanding(it.key))
        }
        return orders + listOfNotNull(configRow?.takeIf { it.revision.era < eras.current })
    }
}
