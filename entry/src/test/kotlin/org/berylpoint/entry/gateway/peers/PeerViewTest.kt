package org.berylpoint.entry.gateway.peers

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.NodeReportCodec
import org.berylpoint.peer.ProcessPart
import org.berylpoint.peer.ReportSocket
import org.berylpoint.peer.WindowPart
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class PeerViewTest :
    FunSpec({
        test("a report counts with what was admitted since the previous one, also when one is lost") {
            val view = createView().first
            view.accept(report(sequence = 1, admitted = 100.0))
            view.accept(report(sequence = 3, admitted = 250.0))!!.admitted["w"] shouldBe 150.0
            view.accept(report(sequence = 2, admitted = 200.0)) shouldBe null
        }

        // Guards against a restarted instance that counts everything its peers have admitted since their start as
        // admitted now, and then refuses every request for one cap window (scale-1 on lkd-berylpoint, 48 s to 58 s).
        test("rolling restart: a first report counts only with what its sender admitted lately") {
            val view = createView().first
            val reportsPerMinute = 60_000 / 250L
            val report = view.accept(report(sequence = reportsPerMinute, admitted = 60_000.0))
            val admitted = report!!.admitted.getValue("w")
            admitted shouldBe (8_000.0 plusOrMinus 200.0)
        }

        test("a process that has just started counts in full, and the usage of its predecessor still counts") {
            val view = createView().first
            view.accept(report(sequence = 100, admitted = 500.0))
            val restarted = view.accept(report(sequence = 1, admitted = 30.0).copy(startedAtMillis = 2))
            restarted!!.admitted["w"] shouldBe 30.0
            view.allReports(OWN).filter { it.name == "other" }.size shouldBe 2
        }

        // Guards against usage reports without the counts of killed processes: a new lease holder that was killed
        // together with them has never received their reports (345 of 759 requests of a window, day flood-in-cut on
        // mshikamano-book).
        test("simultaneous kills: a new process receives the counts of the killed ones from a survivor") {
            val (survivor, time) = createView()
            for (name in listOf("other", "young", "down")) survivor.accept(counted(name, startedAt = 1, requests = 40))
            time += 2.seconds
            val restarted = report(sequence = 1, admitted = 0.0).copy(startedAtMillis = 9)
            for (name in listOf("other", "young")) survivor.accept(restarted.copy(name = name))
            val (newcomer, _) = createView("young")
            newcomer.accept(
                report(50, 0.0).copy(name = "survivor", silentProcesses = survivor.usageOfSilentProcesses()),
            )
            val own = OWN.copy(name = "young", startedAtMillis = 9)
            requests(newcomer.allReports(own)) shouldBe 120
        }

        test("no new process: reports carry no counts of other processes") {
            val (view, time) = createView()
            view.accept(counted("down", startedAt = 1, requests = 40))
            time += 2.seconds
            view.accept(report(50, 0.0))
            view.usageOfSilentProcesses() shouldBe emptyList()
        }

        test("partition: counts relayed for a process that reports here, or for this process, do not count twice") {
            val (view, time) = createView()
            view.accept(counted("other", startedAt = 1, requests = 40))
            time += 2.seconds
            val parts = listOf("other", "self").map { ProcessPart(it, 1, usage(30)) }
            view.accept(report(50, 0.0).copy(name = "third", silentProcesses = parts))
            val own = OWN.copy(usage = usage(10))
            requests(view.allReports(own)) shouldBe 50
        }

        test("partition: the report of a silent instance is not fresh, and the instance counts until it expires") {
            val (view, time) = createView()
            view.add("other", "10.0.0.2:1")
            view.freshReportAgesMillis() shouldBe emptyMap()
            view.peerCount shouldBe 1
            view.accept(report(sequence = 1, admitted = 0.0))
            time += 300.milliseconds
            view.freshReportAgesMillis() shouldBe mapOf("other" to 300L + ReportSocket.RECEIVE_INTERVAL_MILLIS)
            time += 300.milliseconds
            view.freshReportAgesMillis() shouldBe emptyMap()
            view.peerCount shouldBe 1
            time += 20.seconds
            view.removeExpiredPeers()
            view.peerCount shouldBe 0
        }

        test("clock step: the wall-clock offset is the median, so one clock that jumps does not change it") {
            val (view, time) = createView(ownWall = 9_000)
            time += 10.milliseconds
            for (name in listOf("b", "c")) view.accept(report(1, 0.0).copy(name = name, wallMillis = 1_010))
            view.wallClockOffsetMillis() shouldBe 1_000
        }

        test("a report is unchanged after encoding and decoding") {
            val report = report(7, 12.5)
            NodeReportCodec.decode(NodeReportCodec.encode(report)) shouldBe report
        }
    })

private fun createView(name: String = "self", ownWall: Long = 0): Pair<PeerView, TestTimeSource> {
    val time = TestTimeSource()
    return PeerView(name, Clocks(time) { ownWall }, DecisionLog()) to time
}

private val OWN = NodeReport("self", "a", startedAtMillis = 1, sequence = 1, wallMillis = 0)

private fun usage(requests: Long) = listOf(WindowPart(7, mapOf("w" to requests)))

private fun counted(name: String, startedAt: Long, requests: Long) =
    NodeReport(name, "a", startedAt, sequence = 60, wallMillis = 0, usage = usage(requests))

private fun requests(reports: List<NodeReport>) = reports.flatMap { it.usage }.sumOf { it.counts.getValue("w") }

private fun report(sequence: Long, admitted: Double) =
    NodeReport("other", "a", 1, sequence, 0, admitted = mapOf("w" to admitted), address = "10.0.0.2:1")
