package org.berylpoint.entry.gateway.peers

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.peer.NodeReport
import org.berylpoint.peer.ReportChannel
import org.berylpoint.peer.ReportTraffic

/** Instances that send each other reports over a network of the test, in virtual time; all know each other at first. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class ReportingInstances(private val scope: TestScope, names: List<String>) {
    /** Pairs of instances between which reports are lost, in both directions. */
    var cuts: Set<Set<String>> = emptySet()

    private val handlers = HashMap<String, (NodeReport) -> Unit>()

    /** The view that each instance has of the others, by its name. */
    val views: Map<String, PeerView> = names.associateWith { start(it, names) }

    private fun start(name: String, all: List<String>): PeerView {
        val clocks = Clocks(scope.testScheduler.timeSource) { scope.currentTime }
        val view = PeerView(name, clocks, DecisionLog())
        all.forEach { view.add(it, it) }
        val exchange = PeerReportExchange(channelOf(name), view, DecisionLog(), { report(name, it) }, {}, {})
        exchange.start(scope.backgroundScope)
        return view
    }

    private fun report(name: String, sequence: Long) =
        NodeReport(name, "a", startedAtMillis = 1, sequence, scope.currentTime, address = name)

    private fun channelOf(name: String) = object : ReportChannel {
        override val traffic = ReportTraffic()

        override fun receive(handle: (NodeReport) -> Unit) {
            handlers[name] = handle
        }

        override fun send(report: NodeReport, addresses: Collection<String>) =
            addresses.filter { setOf(name, it) !in cuts }.forEach { handlers[it]?.invoke(report) }

        override fun close() = Unit
    }
}
