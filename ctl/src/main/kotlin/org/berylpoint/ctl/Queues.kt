package org.berylpoint.ctl

internal class Queues :
    ReportingCommand(
        "queues",
        "Print the queues and shares of a `berylpoint serve` instance, whose metrics address is given as --address.",
        listOf("berylctl --address http://10.1.0.14:9464 queues"),
    ) {
    override fun run() {
        val dump = session.openClient().serveDump().orFail()
        report(encode(dump)) { describe(dump) }
    }

    private fun describe(dump: ServeDump): String {
        val services = dump.queues.map {
            val limits = if (it.limited) "shares limit it" else "nothing is limited"
            "${it.service}: ${it.capacity} slots, $limits; here ${it.running} running, ${it.waiting} waiting"
        }
        val rows = dump.queues.flatMap { queue ->
            queue.groups.map {
                val slots = listOf(slots(it.share), slots(it.demand))
                listOf(queue.service, "${it.rank}", it.workspace ?: "(others)") + slots +
                    listOf("${it.running}", "${it.waiting}", slots(it.refused))
            }
        }
        val header = listOf("service", "rank", "workspace", "share", "demand", "running", "waiting", "refused")
        return (services + table(header, rows)).joinToString("\n")
    }

    private fun slots(value: Double?): String = value?.let { "%.1f".format(it) } ?: "-"
}
