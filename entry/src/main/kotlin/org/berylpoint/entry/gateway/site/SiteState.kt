package org.berylpoint.entry.gateway.site

import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.FailureDomain
import org.berylpoint.platform.store.StoreRow
import org.berylpoint.platform.wire.ConfigDecoder
import org.berylpoint.platform.wire.ServerDecoder
import org.berylpoint.platform.wire.StoreNames

/**
 * Turns rows of the store into the [SiteView] of this process. Versions never go back: a row that is older than the
 * one known is passed over.
 */
public class SiteState(private val clocks: Clocks, private val log: DecisionLog) {
    private val operatorRows = HashMap<String, Long>()
    private val missing = HashMap<BackendServerId, Long>()
    private var storeTroubleAtMillis = Long.MIN_VALUE / 2

    @Volatile
    public var view: SiteView = SiteView()
        private set

    /** Notes that the store failed a call just now; removals that follow may only be lapsed entries. */
    @Synchronized
    public fun recordStoreFailure() {
        storeTroubleAtMillis = clocks.steadyMillis
    }

    /** Takes in all rows of the operators' table. */
    @Synchronized
    public fun replaceOperatorRows(rows: List<StoreRow>) {
        val keys = rows.map { it.key }.toSet()
        for (key in operatorRows.keys - keys) removeOperatorRow(key)
        rows.forEach(::operatorRow)
    }

    /** Takes in changed rows of the operators' table. */
    @Synchronized
    public fun updateOperatorRows(rows: List<StoreRow>): Unit = rows.forEach(::operatorRow)

    /** Takes in all entries of servers. */
    @Synchronized
    public fun replaceServerRows(rows: List<StoreRow>) {
        val ids = rows.map { BackendServerId(it.key) }.toSet()
        for (id in view.servers.keys - ids) remove(id)
        val isFirst = !view.hasLoadedServers
        for (row in rows) serverRow(row, isLogged = !isFirst)
        view = view.copy(hasLoadedServers = true)
        // One line for all of them: a line each would hold up the first requests after a start.
        if (isFirst) log.event("site", "servers are known", "servers" to view.servers.values.map(::described))
    }

    /** Takes in changed entries of servers. */
    @Synchronized
    public fun updateServerRows(rows: List<StoreRow>): Unit = rows.forEach { serverRow(it, isLogged = true) }

    /** Removes servers whose entries are still missing although the store has been back for a while. */
    @Synchronized
    public fun removeMissingServers() {
        if (missing.isEmpty() || isRecovering()) return
        for (id in missing.keys.toList()) drop(id, "still missing after the store came back")
    }

    private fun operatorRow(row: StoreRow) {
        if (row.revision <= (operatorRows[row.key] ?: -1) && !row.isDeleted) return
        if (row.isDeleted) {
            removeOperatorRow(row.key)
            return
        }
        operatorRows[row.key] = row.revision
        val domain = StoreNames.takenOutDomain(row.key)
        when {
            row.key == StoreNames.CONFIG_KEY -> config(row)
            StoreNames.isRollout(row.key) -> rollout(row)
            domain != null -> {
                view = view.copy(
                    outOfServiceDomains = (view.outOfServiceDomains + FailureDomain(domain)).toPersistentSet(),
                )
                log.event("site", "a failure domain is out of service", "domain" to domain, "revision" to row.revision)
            }
        }
    }

    private fun config(row: StoreRow) {
        ConfigDecoder.config(row.value).fold(
            ifLeft = { log.event("site", "a configuration is not usable", "cause" to it, "revision" to row.revision) },
            ifRight = { config ->
                val known = view.config?.version
                if (known != null && config.version < known) return
                view = view.copy(config = config)
                log.event("site", "a configuration is in force", "version" to config.version, "before" to known)
            },
        )
    }

    private fun rollout(row: StoreRow) {
        val order = ConfigDecoder.rollout(row.value, row.revision)
        if (order == null) {
            log.event("site", "a rollout order can't be read", "key" to row.key, "revision" to row.revision)
            return
        }
        view = view.copy(rollouts = (view.rollouts + (order.service to order)).toPersistentMap())
        log.event("site", "a rollout is ordered", "service" to order.service.value, "to" to order.to.value)
    }

    private fun removeOperatorRow(key: String) {
        operatorRows.remove(key) ?: return
        val domain = StoreNames.takenOutDomain(key)
        if (domain != null) {
            view = view.copy(outOfServiceDomains = (view.outOfServiceDomains - FailureDomain(domain)).toPersistentSet())
            log.event("site", "a failure domain is back in service", "domain" to domain)
        } else if (StoreNames.isRollout(key)) {
            view = view.copy(rollouts = view.rollouts.filterKeys { !key.endsWith("/${it.value}") }.toPersistentMap())
        }
    }

    private fun serverRow(row: StoreRow, isLogged: Boolean) {
        val id = BackendServerId(row.key)
        val known = view.servers[id]
        if (known != null && row.revision < known.revision) return
        if (row.isDeleted) {
            remove(id)
            return
        }
        missing.remove(id)
        val entry = ServerDecoder.server(row.key, row.value)
        if (entry == null) {
            if (known != null) drop(id, "its entry can't be read")
            return
        }
        view =
            view.copy(
                servers = (view.servers + (id to ObservedServer(entry, clocks.steadyMillis, row.revision)))
                    .toPersistentMap(),
            )
        if (isLogged && known?.entry?.copy(coldRemainingMillis = 0) != entry.copy(coldRemainingMillis = 0)) {
            log.event(
                "site",
                if (entry.isDraining) "a server drains" else "a server is known",
                "server" to id.value, "service" to entry.service.value, "address" to entry.address,
                "domain" to entry.domain.name, "cold" to entry.coldRemainingMillis, "revision" to row.revision,
                "version" to entry.version.value, "reclaimable" to entry.isReclaimable,
            )
        }
    }

    private fun described(server: ObservedServer): String = with(server.entry) {
        "${id.value} ${service.value} ${version.value} $address ${domain.name} revision ${server.revision}" +
            (if (isDraining) " draining" else "") +
            (if (coldRemainingMillis > 0) " cold for $coldRemainingMillis ms" else "") +
            (if (isReclaimable) " reclaimable" else "")
    }

    private fun remove(id: BackendServerId) {
        if (isRecovering()) missing[id] = clocks.steadyMillis else drop(id, "its entry was removed")
    }

    private fun drop(id: BackendServerId, cause: String) {
        missing.remove(id)
        if (id !in view.servers) return
        view = view.copy(servers = (view.servers - id).toPersistentMap())
        log.event("site", "a server is gone", "server" to id.value, "cause" to cause)
    }

    private fun isRecovering() = clocks.steadyMillis - storeTroubleAtMillis < RECOVERY_MILLIS

    private companion object {
        /** Time after the store's return in which entries of live servers that lapsed are written again. */
        const val RECOVERY_MILLIS = 2_200L
    }
}
