package org.berylpoint.peer

import java.util.concurrent.atomic.LongAdder

/** What an instance has sent to the others since its start, one datagram for each receiver of a report. */
public class ReportTraffic {
    private val datagramCount = LongAdder()
    private val byteCount = LongAdder()

    public val datagrams: Long get() = datagramCount.sum()

    /** Bytes of all [datagrams], without the headers of the network. */
    public val bytes: Long get() = byteCount.sum()

    /** Counts [datagrams] of [bytes] each. */
    public fun count(datagrams: Int, bytes: Int) {
        datagramCount.add(datagrams.toLong())
        byteCount.add(datagrams.toLong() * bytes)
    }
}
