package org.berylpoint.entry.gateway.peers

/**
 * Instances that have been silent for so long that they no longer count.
 *
 * Each of them still gets a report now and then. One that was only cut off has forgotten this instance too, so without
 * these reports neither would ever hear the other again.
 */
internal class ForgottenPeers {
    private class Entry(val address: String, var reportedToAtMillis: Long)

    /** The one whose last report is the oldest comes first. */
    private val entries = LinkedHashMap<String, Entry>()

    /** Adds an instance; beyond [MAX_ENTRIES], the one that was reported to longest ago is dropped. */
    fun add(name: String, address: String, nowMillis: Long) {
        entries[name] = Entry(address, nowMillis)
        if (entries.size > MAX_ENTRIES) entries.remove(entries.keys.first())
    }

    fun remove(name: String) {
        entries.remove(name)
    }

    /** Takes the addresses of those that are to get this instance's next report. */
    fun takeDueAddresses(nowMillis: Long): List<String> {
        val due = entries.filterValues { nowMillis - it.reportedToAtMillis >= INTERVAL_MILLIS }.entries.take(MAX_DUE)
        for ((name, entry) in due.toList()) {
            entries.remove(name)
            entry.reportedToAtMillis = nowMillis
            entries[name] = entry
        }
        return due.map { it.value.address }
    }

    private companion object {
        /** Short against the time after which an instance counts as in touch again. */
        const val INTERVAL_MILLIS = 1_500L

        /** Bounds what the reports to instances that may be gone for good add to a link. */
        const val MAX_DUE = 16
        const val MAX_ENTRIES = 512
    }
}
