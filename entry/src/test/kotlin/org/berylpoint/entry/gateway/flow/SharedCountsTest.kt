package org.berylpoint.entry.gateway.flow

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.model.Workspace
import org.berylpoint.model.serving.WorkspacePolicy
import org.berylpoint.peer.NodeReport
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class SharedCountsTest :
    FunSpec({
        // Guards against new processes that give out what others, killed with them, had used up (QUOTA, flood-in-cut).
        test("herd kill in a flood: a new process takes over what an older one knows of the window") {
            val old = Node("old")
            old.time += 9.seconds
            val first = NodeReport("killed", "a", startedAtMillis = 1, sequence = 1, wallMillis = 0)
            old.hear(first)
            old.hear(first.copy(sequence = 2, admitted = mapOf("w" to 901.0)))
            val young = Node("young")
            old.hear(NodeReport("young", "a", startedAtMillis = 5, sequence = 1, wallMillis = 0))
            val report = old.report(sequence = 40)
            report.windowTotals shouldBe mapOf("w" to 901.0)
            young.hear(report)
            young.counts.tryCharge(POLICY, 1.0).shouldNotBeNull()
        }

        test("no new process: reports carry no totals") {
            val old = Node("old")
            old.time += 9.seconds
            old.counts.tryCharge(POLICY, 1.0).shouldBeNull()
            old.report(sequence = 40).windowTotals shouldBe emptyMap()
        }

        // Guards against refusals after each start of an instance in a rolling restart.
        test("rolling restart: what peers admitted before they are heard first is not their present rate") {
            val young = Node("young")
            val admitted = mapOf("w" to 650.0)
            young.hear(NodeReport("old", "a", startedAtMillis = 1, sequence = 32, wallMillis = 0, admitted = admitted))
            young.counts.tryCharge(POLICY, 1.0).shouldBeNull()
        }
    })

/** Caps of 100 a second and 100 at once, in windows of 8 s: 900 in a window. */
private val POLICY = WorkspacePolicy(Workspace("w"), emptySet(), null, 100.0, 100.0, countsTokens = true, 1)

private class Node(private val name: String) {
    val time = TestTimeSource()
    private val clocks = Clocks(time) { 0 }
    private val peers = PeerView(name, clocks, DecisionLog())
    val counts = SharedCounts(clocks, peers, RequestFlowFixture.BOUNDS)

    fun hear(report: NodeReport) {
        peers.accept(report)?.let(counts::mergeReport)
    }

    fun report(sequence: Long) = counts.addTo(NodeReport(name, "a", 1, sequence, wallMillis = 0))
}
