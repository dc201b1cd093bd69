package org.berylpoint.entry.gateway

import org.berylpoint.entry.gateway.flow.PromptQuarantine
import org.berylpoint.entry.gateway.flow.RequestFlow
import org.berylpoint.entry.gateway.peers.PeerReportExchange
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.entry.gateway.server.ServerLimits
import org.berylpoint.entry.gateway.server.ServerSpeeds
import org.berylpoint.entry.gateway.site.SiteState
import org.berylpoint.entry.gateway.site.StoreEras
import org.berylpoint.entry.gateway.site.StoreWatcher
import org.berylpoint.platform.wire.StoreNames
import org.berylpoint.policy.overload.LoadShedder

/** The gauges of an entry instance: what its process believes of the site and of itself. */
internal class GatewayGauges(
    private val metrics: GatewayMetrics,
    private val flow: RequestFlow,
    private val site: SiteState,
    private val eras: StoreEras,
    private val watcher: StoreWatcher,
    private val peers: PeerView,
    private val reportExchange: PeerReportExchange,
    private val quarantine: PromptQuarantine,
    private val limits: ServerLimits,
    private val lag: ProcessorLag,
    private val shedder: LoadShedder,
    private val speeds: ServerSpeeds,
) {
    private fun registerSpeeds() {
        metrics.gauge("berylpoint_servers_measured", "Servers whose speed was observed lately by any instance.") {
            speeds.relativeSpeeds().size.toDouble()
        }
        metrics.gauge("berylpoint_server_speed_lowest", "Lowest speed of a server, relative to its service's median.") {
            speeds.relativeSpeeds().values.minOrNull() ?: 1.0
        }
        metrics.gauge("berylpoint_server_speed_highest", "Highest speed of a server, relative to the median.") {
            speeds.relativeSpeeds().values.maxOrNull() ?: 1.0
        }
    }

    /** Registers the gauges, which are read at each scrape. */
    fun register() {
        registerSpeeds()
        metrics.gauge("berylpoint_requests_in_flight", "Requests in progress.") { flow.inFlight.toDouble() }
        metrics.gauge("berylpoint_config_version", "Version of the configuration in force; -1 for none.") {
            (site.view.config?.version ?: -1).toDouble()
        }
        metrics.gauge("berylpoint_servers_known", "Backend servers known.") { site.view.servers.size.toDouble() }
        metrics.gauge("berylpoint_servers_missing", "Backend servers kept although their entries are missing.") {
            site.view.missingServers.size.toDouble()
        }
        metrics.gauge("berylpoint_servers_revision", "Revision of the newest change of a server's entry applied.") {
            (watcher.revisions[StoreNames.SERVERS] ?: 0).toDouble()
        }
        metrics.gauge("berylpoint_store_era", "Newest era of the store known; grows with each restore.") {
            eras.current.toDouble()
        }
        metrics.gauge("berylpoint_store_rows_held_back", "Rows of a restored store that are not in force here.") {
            site.heldBackRows.toDouble()
        }
        metrics.gauge("berylpoint_limited_servers", "Servers that name a limit of requests in their responses.") {
            limits.size.toDouble()
        }
        metrics.gauge("berylpoint_quarantined_parts", "Prompt parts for which requests are refused.") {
            quarantine.size.toDouble()
        }
        metrics.gauge("berylpoint_processor_lag_seconds", "How late the process gets its turns on the processor.") {
            lag.millis / MILLIS_PER_SECOND
        }
        metrics.gauge("berylpoint_view_age_seconds", "Time since the view of the site was known to be complete.") {
            (watcher.viewAgeMillis ?: 0) / MILLIS_PER_SECOND
        }
        metrics.gauge("berylpoint_accepted_share", "Share of requests that is accepted; below 1 under overload.") {
            shedder.acceptedShare
        }
        metrics.gauge("berylpoint_report_bytes", "Bytes of reports sent to other instances since the start.") {
            reportExchange.traffic.bytes.toDouble()
        }
        metrics.gauge("berylpoint_peers_known", "Other instances known, silent ones included.") {
            peers.peerCount.toDouble()
        }
        metrics.gauge("berylpoint_peers_heard", "Other instances heard lately.") { peers.liveReports.size.toDouble() }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
