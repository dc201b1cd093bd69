package org.berylpoint.peer

/** Sends [NodeReport]s to other instances and receives theirs. Reports may be lost; nothing is sent again. */
public interface ReportChannel : AutoCloseable {
    /** What was sent since the channel was opened. */
    public val traffic: ReportTraffic

    /** Calls [handle] for each report that arrives. */
    public fun receive(handle: (NodeReport) -> Unit)

    /** Sends [report] to each of [addresses], given as IP number and port. */
    public fun send(report: NodeReport, addresses: Collection<String>)
}
