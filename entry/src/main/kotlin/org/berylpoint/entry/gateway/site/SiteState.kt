package org.berylpoint.entry.gateway.site

import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.platform.store.StoreRevision
import org.berylpoint.platform.store.StoreRow
import org.berylpoint.platform.wire.StoreNames

/**
 * Builds the [SiteView] of this process from rows of the store. Versions never go back: a row that is older than the
 * one applied is ignored. That holds over restores of the store too, until the owner of a row has written it again.
 */
public class SiteState(
    clocks: Clocks,
    private val log: DecisionLog,
    internal val eras: StoreEras = StoreEras(clocks, log),
) {
    @Volatile
    public var view: SiteView = SiteView()
        private set

    private val operators = OperatorRows(clocks, log, eras, { view }, { view = it })
    private val servers = ServerRows(clocks, log, eras, { view }, { view = it })

    private var hasReadOperators = false

    /** Called without a lock when servers may have come, left or changed. */
    @Volatile
    internal var onServersChanged: () -> Unit = {}

    /** Records that a store call has just failed. Entries that are missing after that may only have lapsed. */
    @Synchronized
    public fun recordStoreFailure(): Unit = servers.recordStoreFailure()

    /** Applies a complete read of the operators' table as of [revision]. */
    @Synchronized
    public fun replaceOperatorRows(rows: List<StoreRow>, revision: StoreRevision = newestOf(rows)) {
        // Only after a restore may the store have an older configuration than peers.
        if (!hasReadOperators && revision.era > 0) view = view.copy(isConfirmed = false)
        hasReadOperators = true
        operators.removeAbsent(rows.map { it.key }.toSet(), revision)
        applyEach(rows, operators::apply)
    }

    /** Records that the configuration read first is not older than what peers have. */
    @Synchronized
    internal fun confirm() {
        view = view.copy(isConfirmed = true)
    }

    /** Applies changed rows of the operators' table. */
    @Synchronized
    public fun updateOperatorRows(rows: List<StoreRow>): Unit = applyEach(rows, operators::apply)

    /** Applies a complete read of the servers' table as of [revision]. */
    public fun replaceServerRows(rows: List<StoreRow>, revision: StoreRevision = newestOf(rows)) {
        replaceServers(rows, revision)
        onServersChanged()
    }

    @Synchronized
    private fun replaceServers(rows: List<StoreRow>, revision: StoreRevision) {
        servers.removeAbsent(rows.map { it.key }.toSet(), revision)
        val isFirst = !view.hasLoadedServers
        applyEach(rows) { servers.apply(it, isLogged = !isFirst) }
        view = view.copy(hasLoadedServers = true)
        // One line for all servers: a line for each would delay the first requests after a start.
        if (isFirst) log.event("site", "servers are known", "servers" to servers.describeAll())
    }

    /** Applies changed rows of the servers' table. */
    public fun updateServerRows(rows: List<StoreRow>) {
        updateServers(rows)
        onServersChanged()
    }

    @Synchronized
    private fun updateServers(rows: List<StoreRow>) = applyEach(rows) { servers.apply(it, isLogged = true) }

    /** Applies rows from before a restore of the store that a peer still goes by. */
    public fun updateRetainedRows(table: String, rows: List<StoreRow>) {
        when (table) {
            StoreNames.OPERATORS -> updateOperatorRows(synchronized(this) { rows.filter(operators::takesRetained) })
            StoreNames.SERVERS -> updateServerRows(synchronized(this) { rows.filter(servers::takesRetained) })
        }
    }

    /** Removes servers whose entries are still missing when the recovery period after a store failure has passed. */
    @Synchronized
    public fun removeMissingServers(): Unit = servers.removeMissing()

    /**
     * Applies rows of a restored store that were held back, once they are known to be newer than the restore, and gives
     * up what the store lacks when its writers have had [RECOVERY_MILLIS] to write it again.
     */
    @Synchronized
    public fun settleRestoredRows() {
        if (eras.changedAtMillis == null) return
        operators.settle()
        servers.settle()
    }

    /** Rows of a restored store that are not in force since what was known before is taken for newer. */
    public val heldBackRows: Int
        @Synchronized get() = operators.heldBackCount + servers.heldBackCount

    /** Rows from before a restore that are in force although the store lacks them or shows older ones, by table. */
    @Synchronized
    public fun retainedRows(): Map<String, List<StoreRow>> = if (eras.current == 0L) {
        emptyMap()
    } else {
        mapOf(StoreNames.SERVERS to servers.retained(), StoreNames.OPERATORS to operators.retained())
            .filterValues { it.isNotEmpty() }
    }

    /** Hash over [retainedRows], by which instances find out whether they differ in them. */
    public fun retainedDigest(): Int = retainedRows().values.flatten()
        .map { "${it.table}/${it.key}@${it.revision}/${it.isDeleted}" }
        .sorted()
        .hashCode()

    /** Applies each row; one that fails does not keep the others, or later changes, from being applied. */
    private fun applyEach(rows: List<StoreRow>, applyRow: (StoreRow) -> Unit) {
        for (row in rows) {
            try {
                applyRow(row)
            } catch (e: RuntimeException) {
                log.event("site", "ignoring a row that can't be applied", "row" to row, "cause" to e.toString())
            }
        }
    }

    internal companion object {
        /**
         * Time after the last store failure in which live servers write their lapsed entries again, and after a restore
         * in which servers and operators write again what it has lost.
         */
        const val RECOVERY_MILLIS = 2_200L

        private fun newestOf(rows: List<StoreRow>) = rows.maxOfOrNull { it.revision } ?: StoreRevision.NONE
    }
}
