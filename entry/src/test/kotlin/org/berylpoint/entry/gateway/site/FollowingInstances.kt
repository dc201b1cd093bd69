package org.berylpoint.entry.gateway.site

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.serving.ServiceName
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.RowsPart
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Instances of two failure domains that follow [tables] and report to each other, in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class FollowingInstances(
    private val scope: TestScope,
    private val tables: FakeTables,
    perDomain: Int,
    private val reportInterval: Duration = REPORT_INTERVAL,
) {
    /** Instances that neither hear others nor are heard. */
    val isolated = mutableSetOf<String>()

    /** One instance with what it believes of the site. */
    inner class Follower(val name: String, val domain: String) {
        private val clocks = Clocks(scope.testScheduler.timeSource) { scope.currentTime }
        private val log = DecisionLog()
        val peers = PeerView(name, clocks, log)
        private val eras = StoreEras(clocks, log)
        val state = SiteState(clocks, log, eras)
        private val feedReaders = FeedReaderSelection(name, domain, peers, CHANGE_MILLIS, { eras.current }, ::forward)
        val watcher = StoreWatcher(tables.reader(name), StoreClock(clocks), state, log, feedReaders, eras)
        private var sequence = 0L
        private val jobs = listOf(
            watcher.start(scope.backgroundScope),
            scope.backgroundScope.launch { sendReports() },
            scope.backgroundScope.launch { StartupCheck(state, peers, clocks, log).run() },
        )

        /** How late the process gets its turns; nothing that its peers send is read while it is positive. */
        var lagMillis = 0L

        val freshness = ViewFreshness(watcher, peers, { lagMillis }, CHANGE_MILLIS)

        /** Whether the rows that the reader of its failure domain forwards to it are lost. */
        var losesForwardedRows = false

        val isReader: Boolean get() = feedReaders.longPollWait() != null

        /** Whether a request to [SERVICE] may be sent to the server [id]. */
        fun uses(id: String): Boolean = state.view.usableServers(SERVICE).any { it.entry.id == BackendServerId(id) }

        val configVersion: Long? get() = state.view.config?.version

        fun report(rows: RowsPart? = null): NodeReport {
            val report = NodeReport(
                name = name,
                domain = domain,
                startedAtMillis = 1,
                sequence = ++sequence,
                wallMillis = scope.currentTime,
                configVersion = configVersion ?: 0,
                address = name,
                rows = rows,
            )
            return watcher.addTo(report)
        }

        var isKilled = false
            private set

        /** Ends the process of the instance without a word to anyone. */
        fun kill() {
            isKilled = true
            jobs.forEach { it.cancel() }
        }

        private suspend fun sendReports() {
            while (true) {
                peers.removeExpiredPeers()
                val report = report()
                all.filter { it !== this }.forEach { it.receive(report) }
                delay(reportInterval)
            }
        }

        fun receive(report: NodeReport) {
            if (isKilled || lagMillis > 0) return
            if (name in isolated || report.name in isolated) return
            report.rows?.let { return watcher.applyForwardedRows(it) }
            if (peers.accept(report) == null) return
            watcher.notePeer(report)
            watcher.changesFor(report).forEach { rows ->
                all.first { it.name == report.name }.receive(report(rows))
            }
        }

        private fun forward(rows: RowsPart) {
            val report = report(rows)
            all.filter { it.domain == domain && it !== this && !it.losesForwardedRows }.forEach { it.receive(report) }
        }
    }

    private val running = ArrayList<Follower>()

    val all: List<Follower> get() = running

    init {
        for (domain in listOf("a", "b")) {
            (1..perDomain).forEach { running += Follower("$domain$it", domain) }
        }
    }

    /** Starts another instance now, which knows the addresses of all others. */
    fun start(name: String, domain: String): Follower {
        val started = Follower(name, domain)
        running.forEach { started.peers.add(it.name, it.name) }
        started.peers.isPeerListLoaded = true
        running += started
        return started
    }

    companion object {
        val SERVICE = ServiceName("s")

        /** The shortest time in which operators want a change in force. */
        private const val CHANGE_MILLIS = 2_000L
        private val REPORT_INTERVAL = 100.milliseconds

        /** A server's entry, the one of number [sequence] that it writes if that is given. */
        fun server(state: String = "ready", startedAt: Long = 1, sequence: Long? = null) =
            """{"service":"s","address":"10.0.0.1:80","zone":"a","version":"v","slots":2,"state":"$state",
                "cold_remaining_ms":0,"born":$startedAt,"sequence":$sequence}""".encodeToByteArray()

        /** A configuration with one API key. */
        fun config(version: Long, key: String = "key-$version") =
            """{"version":$version,"routes":[{"name":"r","host":"h","prefix":"/","kind":"safe","service":"s"}],
                "services":[{"name":"s"}],"tenants":[{"name":"w","api_keys":["$key"]}]}""".encodeToByteArray()
    }
}
