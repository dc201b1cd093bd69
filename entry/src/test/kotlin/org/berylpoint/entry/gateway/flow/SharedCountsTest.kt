package org.berylpoint.entry.gateway.flow

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.entry.gateway.peers.PeerView
import org.berylpoint.model.Workspace
import org.berylpoint.model.serving.ServiceName
import org.berylpoint.model.serving.WorkspacePolicy
import org.berylpoint.peer.NodeReport
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class SharedCountsTest :
    FunSpec({
        // Guards against an exceeded cap after several instances are killed together under load: their new processes
        // don't know what the killed ones admitted in the window (rule QUOTA, run flood-in-cut).
        test("a new process adopts the window total of an older one after several instances were killed") {
            val old = TestInstance("old")
            old.time += 9.seconds
            val first = NodeReport("killed", "a", startedAtMillis = 1, sequence = 1, wallMillis = 0)
            old.receive(first)
            old.receive(first.copy(sequence = 2, admitted = mapOf("w" to 901.0)))
            val young = TestInstance("young")
            old.receive(NodeReport("young", "a", startedAtMillis = 5, sequence = 1, wallMillis = 0))
            val report = old.report(sequence = 40)
            report.windowTotals shouldBe mapOf("w" to 901.0)
            young.receive(report)
            young.counts.tryCharge(POLICY, 1.0).shouldNotBeNull()
        }

        // Guards against retries beyond the budget of all instances while a site is cut in two (BUDGET): the instances
        // of each part divided the whole slack among themselves, since they counted the others as gone.
        test("partition: the parts of a site together keep to the slack of the retry budget") {
            val instances = List(4) { TestInstance("i$it") }
            for (instance in instances) {
                for (peer in instances - instance) instance.receive(peer.report(sequence = 1))
                instance.time += 2.seconds
            }
            val retries = instances.sumOf { instance ->
                generateSequence { instance.counts.tryRetry(ServiceName("s")) }.takeWhile { it }.count()
            }
            retries shouldBeLessThanOrEqual RequestFlowFixture.BOUNDS.retrySlack.toInt()
        }

        // Guards against too few servers when shared prompts are prefilled again at other servers.
        test("shared prompt tokens that a server has to prefill count as demand") {
            val instance = TestInstance("a")
            instance.counts.countFirstAttempt(ServiceName("s"), prefillTokens = 10, outputTokens = 5)
            instance.counts.countSharedPrefill(ServiceName("s"), tokens = 40)
            instance.report(sequence = 1).demands.single().prefillTokens shouldBe 50
        }

        test("reports carry no window totals if no instance has a new process") {
            val old = TestInstance("old")
            old.time += 9.seconds
            old.counts.tryCharge(POLICY, 1.0).shouldBeNull()
            old.report(sequence = 40).windowTotals shouldBe emptyMap()
        }

        // Guards against a request that crashes servers again after each restart of an instance (BUDGET): the crashes
        // that an ended process had seen were not counted any more.
        test("a new process knows the crashes that ended processes have seen") {
            val living = TestInstance("living")
            repeat(2) { living.counts.countCrash("r") }
            val killed = TestInstance("killed")
            killed.receive(living.report(sequence = 1))
            killed.counts.countCrash("r")
            living.receive(killed.report(sequence = 1))
            living.time += 30.seconds
            living.forgetSilentPeers()
            living.counts.crashCount("r") shouldBe 3
            val restarted = TestInstance("killed")
            restarted.receive(living.report(sequence = 2))
            restarted.counts.crashCount("r") shouldBe 3
        }

        // Guards against refusals after each instance start in a rolling restart: the first report that a new process
        // gets from a peer counts what the peer admitted since its start, which is not its present rate.
        test("what a peer admitted before its first report does not count as its present rate") {
            val young = TestInstance("young")
            val admitted = mapOf("w" to 650.0)
            young.receive(
                NodeReport("old", "a", startedAtMillis = 1, sequence = 32, wallMillis = 0, admitted = admitted),
            )
            young.counts.tryCharge(POLICY, 1.0).shouldBeNull()
        }
    })

/** A cap of 100 tokens per second with a burst of 100: 900 in a window of 8 s. */
private val POLICY = WorkspacePolicy(Workspace("w"), emptySet(), null, 100.0, 100.0, countsTokens = true, 1)

private class TestInstance(private val name: String) {
    val time = TestTimeSource()
    private val clocks = Clocks(time) { 0 }
    private val peers = PeerView(name, clocks, DecisionLog())
    val counts = SharedCounts(clocks, peers, RequestFlowFixture.BOUNDS)

    fun receive(report: NodeReport) {
        peers.accept(report)?.let(counts::mergeReport)
    }

    fun forgetSilentPeers() = peers.removeExpiredPeers()

    fun report(sequence: Long) = counts.addTo(NodeReport(name, "a", 1, sequence, wallMillis = 0))
}
