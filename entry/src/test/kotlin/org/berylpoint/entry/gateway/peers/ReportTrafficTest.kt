package org.berylpoint.entry.gateway.peers

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.berylpoint.entry.KnownRed
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.peer.LoadPart
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.NodeReportCodec
import org.berylpoint.peer.ReportChannel
import org.berylpoint.peer.ReportTraffic
import org.berylpoint.peer.WindowPart
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ReportTrafficTest :
    FunSpec({
        // Guards against links that are full of the instances' own reports, so that requests, calls to the store and
        // the reports themselves are late or lost (CONFIG, DRAIN): they grew with restarts, and all went out at once.
        context("reports leave the smallest link to requests while instances are restarted in turn") {
            withData(nameFn = { "$it instances" }, 16, 66, 300) { count ->
                runTest {
                    val sender = BusySender(this, count)
                    backgroundScope.launch { sender.restartPeersInTurn() }
                    delay(20.seconds)
                    val before = sender.bytes
                    delay(20.seconds)
                    (sender.bytes - before) / 20 shouldBeLessThan MAX_BYTES_PER_SECOND
                    sender.largestBurst shouldBeLessThan MAX_BURST_BYTES
                }
            }
        }

        // Guards against the same on a loaded site: reports grew to 190 KB a second when servers crashed and named
        // limits, since each report listed every server by its id, all suspected crashes and all limits.
        context("reports of a loaded site leave the smallest link to requests while instances are restarted in turn") {
            withData(nameFn = { "$it instances" }, 66, 300) { count ->
                runTest {
                    val sender = BusySender(this, count, LoadedReport::of)
                    backgroundScope.launch { sender.restartPeersInTurn() }
                    delay(20.seconds)
                    val before = sender.bytes
                    delay(20.seconds)
                    (sender.bytes - before) / 20 shouldBeLessThan MAX_BYTES_PER_SECOND
                    sender.largestBurst shouldBeLessThan MAX_BURST_BYTES
                }
            }
        }

        // The same with what parts of later releases add; see KNOWN-RED.txt.
        for (count in listOf(66, 300)) {
            test("reports with speeds after a restore leave the smallest link to requests, $count instances")
                .config(tags = setOf(KnownRed)) {
                    runTest {
                        val sender = BusySender(this, count, LoadedReport::afterRestore)
                        backgroundScope.launch { sender.restartPeersInTurn() }
                        delay(20.seconds)
                        val before = sender.bytes
                        delay(20.seconds)
                        (sender.bytes - before) / 20 shouldBeLessThan MAX_BYTES_PER_SECOND
                        sender.largestBurst shouldBeLessThan MAX_BURST_BYTES
                    }
                }
        }

        // Guards against a bound that keeps something from the receivers for good.
        test("a receiver learns all that a loaded instance has to say, a part with each report") {
            runTest {
                val sender = BusySender(this, 16, LoadedReport::of)
                delay(60.seconds)
                val whole = LoadedReport.of(1, 0)
                val heard = sender.receivedReports
                heard.flatMap { it.suspects }.flatMap { part -> part.crashes.map { part.part to it.process } }
                    .toSet().size shouldBe whole.suspects.sumOf { it.crashes.size }
                heard.flatMap { it.limits }.map { it.server }.toSet().size shouldBe whole.limits.size
                heard.flatMap { it.crashTotals }.map { it.fingerprint }.toSet().size shouldBe whole.crashTotals.size
                val last = sender.receiver.liveReports.single()
                last.usage shouldBe whole.usage
                last.crashes shouldBe whole.crashes
                last.queues.map { it.copy(waiting = 0.0, refused = 0.0) } shouldBe
                    whole.queues.map { it.copy(waiting = 0.0, refused = 0.0) }
                last.queues.sumOf { it.waiting } shouldBe (whole.queues.sumOf { it.waiting } plusOrMinus 1.0)
                last.outcomes shouldBe whole.outcomes
                last.serverLoads[LoadedReport.server(4)].active shouldBe whole.loads[4].active
            }
        }

        // Guards against reports that an instance of the release before can't read: it would see no load and no use of
        // caps while instances are updated.
        test("reports are not packed while a live instance does not read that") {
            runTest {
                val sender = BusySender(this, 16, LoadedReport::of, peersReadPacked = false)
                delay(3.seconds)
                sender.receiver.liveReports.single().loads shouldBe LoadedReport.of(1, 0).loads
            }
        }

        // Guards against a report that leaves out what its receiver needs: counts that change slowly are not in each.
        test("a receiver knows the usage and totals of a peer after a few rounds, whichever reports it got") {
            runTest {
                val sender = BusySender(this, 16)
                delay(3.seconds)
                sender.receiver.allReports(OWN).first { it.name == "self" }.usage shouldBe USAGE
                sender.receiver.liveReports.single().loads shouldBe LOADS
            }
        }
    })

/** An instance under load with [count] peers, whose reports go to [receiver] and are measured. */
@OptIn(ExperimentalCoroutinesApi::class)
private class BusySender(
    private val scope: TestScope,
    count: Int,
    private val loaded: ((sequence: Long, wallMillis: Long) -> NodeReport)? = null,
    private val peersReadPacked: Boolean = true,
) {
    private val clocks = Clocks(scope.testScheduler.timeSource) { scope.currentTime }
    private val view = PeerView("self", clocks, DecisionLog())
    private val names = (1 until count).map { "frontend-dar-ea-$it" }
    private val startTimes = names.associateWith { 1L }.toMutableMap()
    private val roundAtStart = names.associateWith { 0L }.toMutableMap()
    private val bursts = HashMap<Long, Long>()

    /** The view of the first of the peers. */
    val receiver = PeerView(names.first(), clocks, DecisionLog())

    /** What arrived at the first of the peers. */
    val receivedReports = mutableListOf<NodeReport>()

    var bytes = 0L
        private set

    val largestBurst: Long get() = bursts.values.max()

    init {
        names.forEach { view.add(it, it) }
        val exchange = PeerReportExchange(channel(), view, DecisionLog(), ::report, {}, {})
        scope.backgroundScope.launch { reportAsPeers() }
        exchange.start(scope.backgroundScope)
    }

    /** Each of the peers reports as often as the sender does. */
    private suspend fun reportAsPeers() {
        var round = SETTLED_ROUNDS
        while (true) {
            round++
            for (name in names) view.accept(report(round - roundAtStart.getValue(name)).from(name))
            delay(PeerView.reportIntervalMillis(names.size).milliseconds)
        }
    }

    private fun NodeReport.from(name: String) = copy(
        name = name,
        address = name,
        startedAtMillis = startTimes.getValue(name),
        silentProcesses = emptyList(),
        readsPacked = readsPacked && peersReadPacked,
    )

    suspend fun restartPeersInTurn() {
        for (name in names) {
            delay(1.seconds)
            val age = scope.currentTime / PeerView.reportIntervalMillis(names.size)
            startTimes[name] = scope.currentTime
            roundAtStart[name] = SETTLED_ROUNDS + age
        }
    }

    private fun report(sequence: Long): NodeReport = loaded?.invoke(sequence, scope.currentTime)?.copy(
        windowTotals = windowTotals(),
        silentProcesses = view.usageOfSilentProcesses(),
    ) ?: plainReport(sequence)

    private fun windowTotals() =
        if (view.hasProcessYoungerThan(8_000)) WORKSPACES.associateWith { 9_876.5 } else emptyMap()

    private fun plainReport(sequence: Long) = NodeReport(
        name = "self",
        domain = "dar-ea",
        startedAtMillis = 1,
        sequence = sequence,
        wallMillis = WALL_MILLIS + scope.currentTime,
        configVersion = 16,
        loads = LOADS,
        admitted = WORKSPACES.associateWith { 123_456.0 },
        usage = USAGE,
        address = "10.1.0.14:7600",
        revisions = mapOf("op" to 1_234L, "servers" to 12_345L),
        windowTotals = windowTotals(),
        silentProcesses = view.usageOfSilentProcesses(),
    )

    private fun channel() = object : ReportChannel {
        override val traffic = ReportTraffic()

        override fun receive(handle: (NodeReport) -> Unit) = Unit

        override fun send(report: NodeReport, addresses: Collection<String>) {
            val encoded = NodeReportCodec.encode(report)
            val sent = encoded.size.toLong() * addresses.size
            bytes += sent
            bursts.merge(scope.currentTime, sent, Long::plus)
            if (names.first() !in addresses) return
            val decoded = NodeReportCodec.decode(encoded)
            receivedReports += decoded
            receiver.accept(decoded)
        }

        override fun close() = Unit
    }
}

private val WORKSPACES = (0 until 16).map { "cugo${900 + it}" }
private val USAGE = (0L until 3L).map { window -> WindowPart(353_445_120 + window, WORKSPACES.associateWith { 412 }) }

private val LOADS = (0 until 20).map { LoadPart("i-1c300adc${10 + it}", active = 2, pendingTokens = 12_345) }

private val OWN = NodeReport("frontend-dar-ea-1", "dar-ea", startedAtMillis = 1, sequence = 1, wallMillis = 0)
private const val WALL_MILLIS = 1_765_000_000_000

/** Reports that a process has sent which has run for a minute or more. */
private const val SETTLED_ROUNDS = 300L

/** The smallest link that the operators' pages name, 7 Mbit/s. */
private const val LINK_BYTES_PER_SECOND = 875_000L

/** The rest is for requests, their responses and calls to the store. */
private const val MAX_BYTES_PER_SECOND = LINK_BYTES_PER_SECOND / 6

/** 25 ms of the link, short against the 200 ms in which a connection to a server has to be made. */
private const val MAX_BURST_BYTES = LINK_BYTES_PER_SECOND / 40
