package org.berylpoint.policy.queue

import org.berylpoint.policy.share.ShareGroup
import java.util.TreeSet

/** The entries of one workspace in one rank, with its tag of start-time fair queueing. */
internal class Flow<T>(val group: ShareGroup) {
    private val entries = TreeSet(
        compareBy<QueueEntry<T>> { it.latestStartMillis }.thenBy { it.sequence },
    )

    /** Virtual time at which the work charged to the flow so far would be done. */
    var finishTag = 0.0

    /** Slots that the flow is entitled to at this instance. */
    var weight = 1.0

    /** Whether the flow asks for more than its share of the service. */
    var isLimited = false

    /** Slots of the limit that one request of the flow uses. */
    val limitedSlots: Int get() = if (isLimited) 1 else 0

    /** Work of the entries, in milliseconds. */
    var workMillis = 0.0
        private set
    var lastUsedMillis = 0L

    /** Work of the latest entry, in milliseconds. */
    var entryWorkMillis = 0.0
        private set

    val size: Int get() = entries.size

    fun entries(): Iterator<QueueEntry<T>> = entries.iterator()

    fun first(): QueueEntry<T>? = if (entries.isEmpty()) null else entries.first()

    fun last(): QueueEntry<T> = entries.last()

    fun add(entry: QueueEntry<T>) {
        entries.add(entry)
        workMillis += entry.workMillis
        entryWorkMillis = entry.workMillis
    }

    fun remove(entry: QueueEntry<T>): Boolean {
        if (!entries.remove(entry)) return false
        workMillis = if (entries.isEmpty()) 0.0 else workMillis - entry.workMillis
        return true
    }

    /** Start tag of the next entry; a flow that used less than its weight lately may run ahead by [creditMillis]. */
    fun startTag(virtualTime: Double, creditMillis: Double): Double = maxOf(finishTag, virtualTime - creditMillis)
}
