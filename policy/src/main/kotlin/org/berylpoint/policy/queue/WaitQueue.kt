package org.berylpoint.policy.queue

import org.berylpoint.policy.share.InstanceAllowance
import org.berylpoint.policy.share.OwnDemand
import org.berylpoint.policy.share.ShareGroup
import java.util.TreeMap
import java.util.TreeSet

/** Entries of one group in the queue. */
public data class QueueCount(val waiting: Int, val workMillis: Double)

/**
 * The requests to one service that wait for room at this instance.
 *
 * Load pattern: more requests than slots, most of them of one workspace or one rank, in clusters. Order: by rank;
 * within a rank start-time fair queueing between workspaces; within a workspace least slack first. The weights of the
 * workspaces are their portions of [InstanceAllowance], so that what a workspace gets at other instances counts here.
 * The queue holds no more than can be started in time at the rate at which slots become free. It records in [own] what
 * is queued, started and refused. It neither polls nor reads a clock. Not thread-safe.
 *
 * Every request is offered, also while there is room, and [dispatch] is called right after: the start of a request is
 * what its workspace is charged for.
 */
public class WaitQueue<T>(private val own: OwnDemand) {
    /** The flows of one rank and their virtual time. */
    private class Rank<T> {
        val flows = LinkedHashMap<ShareGroup, Flow<T>>()
        var virtualTime = 0.0

        /** Virtual time that passes per millisecond while entries of the rank wait. */
        val pace = RateMeter()
        val waiting: Int get() = flows.values.sumOf { it.size }
        val workMillis: Double get() = flows.values.sumOf { it.workMillis }
    }

    private val ranks = TreeMap<Int, Rank<T>>()
    private val waiting = TreeSet(
        compareBy<QueueEntry<T>> { it.latestStartMillis }.thenBy { it.sequence },
    )
    private var allowance = InstanceAllowance.UNLIMITED
    private var lastSequence = 0L

    /** Number of entries. */
    public val size: Int get() = waiting.size

    /** Time at which the first entry expires, or null for an empty queue; [expire] is to be called then. */
    public val nextExpiryMillis: Long? get() = if (waiting.isEmpty()) null else waiting.first().latestStartMillis + 1

    /** Sets the limits and weights that apply from now on; to be called once in a round of reports. */
    public fun allow(allowance: InstanceAllowance) {
        this.allowance = allowance
        ranks.values.forEach { rank -> rank.flows.values.forEach(::applyShare) }
    }

    /** Adds [entry], unless it would start too late. */
    public fun offer(entry: QueueEntry<T>, nowMillis: Long): OfferResult<T> {
        val flow = flowOf(entry.group, nowMillis)
        val slack = (entry.latestStartMillis - nowMillis) * if (flow.isLimited) USABLE_SLACK else 1.0
        if (slack < 0 || waitMillis(flow) > slack) {
            own.refused(entry.group, entry.workMillis, nowMillis)
            val cause = if (flow.isLimited) RefusalCause.WORKSPACE_SHARE_USED else RefusalCause.CANNOT_START_IN_TIME
            return OfferResult.Refused(cause)
        }
        val evicted = ArrayList<QueueRefusal<T>>()
        if (size >= MAX_ENTRIES) {
            val lower = ranks.descendingMap().entries.firstOrNull { it.key > entry.group.rank && it.value.waiting > 0 }
            if (lower == null) {
                own.refused(entry.group, entry.workMillis, nowMillis)
                return OfferResult.Refused(RefusalCause.CANNOT_START_IN_TIME)
            }
            evicted += evictLast(lower.value, nowMillis)
        }
        entry.sequence = ++lastSequence
        flow.add(entry)
        waiting.add(entry)
        own.queued(entry.group, nowMillis)
        evictBehind(entry.group.rank, nowMillis)?.let { evicted += it }
        updateMeters(nowMillis)
        return OfferResult.Queued(evicted)
    }

    /** Removes an entry whose caller has left; false if it does not wait any more. */
    public fun remove(entry: QueueEntry<T>, nowMillis: Long): Boolean {
        val flow = ranks[entry.group.rank]?.flows?.get(entry.group) ?: return false
        if (!flow.remove(entry)) return false
        waiting.remove(entry)
        own.dequeued(entry.group, nowMillis)
        updateMeters(nowMillis)
        return true
    }

    /**
     * Starts entries for which there is room, in order. [tryStart] tries to reserve a server and returns whether it
     * did; at most [MAX_TRIES] entries are tried in vain. Entries whose latest start has passed are not tried.
     */
    public fun dispatch(nowMillis: Long, tryStart: (QueueEntry<T>) -> Boolean): DispatchResult<T> {
        val expired = expire(nowMillis)
        val started = ArrayList<QueueEntry<T>>()
        var triesLeft = MAX_TRIES
        var limitedLeft = allowance.limit - own.running(allowance::isLimited)
        for (rank in ranks.values) {
            // Entries that were tried in vain; the next ones of their flows are tried after those of other flows.
            val blocked = HashSet<Flow<T>>()
            while (triesLeft > 0) {
                val open = rank.flows.values.filter { it.size > 0 && it !in blocked }
                    .filter { !it.isLimited || limitedLeft > 0 }
                val flow = open.minByOrNull { startOrder(it, rank, nowMillis) } ?: break
                val entry = firstThatStarts(flow, triesLeft, tryStart) { triesLeft-- }
                if (entry == null) {
                    blocked += flow
                } else {
                    charge(rank, flow, entry, nowMillis)
                    limitedLeft -= flow.limitedSlots
                    started += entry
                }
            }
        }
        updateMeters(nowMillis)
        return DispatchResult(started, expired)
    }

    /** Removes the entries whose latest start has passed. */
    public fun expire(nowMillis: Long): List<QueueRefusal<T>> {
        if (waiting.isEmpty() || waiting.first().latestStartMillis >= nowMillis) return emptyList()
        val expired = waiting.takeWhile { it.latestStartMillis < nowMillis }
        return expired.map { entry ->
            remove(entry, nowMillis)
            own.refused(entry.group, entry.workMillis, nowMillis)
            QueueRefusal(entry, RefusalCause.CANNOT_START_IN_TIME)
        }
    }

    /** Entries of each group that has any. */
    public fun counts(): Map<ShareGroup, QueueCount> = ranks.values.flatMap { it.flows.values }.filter { it.size > 0 }
        .associate { it.group to QueueCount(it.size, it.workMillis) }

    /** Estimated time in milliseconds until an entry of [group] that is offered now would start. */
    public fun expectedWaitMillis(group: ShareGroup, nowMillis: Long): Double {
        updateMeters(nowMillis)
        return waitMillis(flowOf(group, nowMillis))
    }

    /** Flows start in ascending order: one with an entry that is short of time first, the others by start tag. */
    private fun startOrder(flow: Flow<T>, rank: Rank<T>, nowMillis: Long): Double {
        val first = flow.first() ?: return Double.POSITIVE_INFINITY
        if (first.latestStartMillis - nowMillis < RESCUE_MILLIS) return Double.NEGATIVE_INFINITY
        return flow.startTag(rank.virtualTime, CREDIT_MILLIS)
    }

    private fun firstThatStarts(
        flow: Flow<T>,
        maxTries: Int,
        tryStart: (QueueEntry<T>) -> Boolean,
        onFailure: () -> Unit,
    ): QueueEntry<T>? {
        var tries = 0
        for (entry in flow.entries()) {
            if (tries++ == minOf(maxTries, MAX_TRIES_PER_WORKSPACE)) return null
            if (tryStart(entry)) return entry
            onFailure()
        }
        return null
    }

    private fun charge(rank: Rank<T>, flow: Flow<T>, entry: QueueEntry<T>, nowMillis: Long) {
        val tag = flow.startTag(rank.virtualTime, CREDIT_MILLIS)
        rank.pace.add((tag - rank.virtualTime).coerceAtLeast(0.0))
        rank.virtualTime = maxOf(rank.virtualTime, tag)
        flow.finishTag = tag + entry.workMillis / flow.weight
        remove(entry, nowMillis)
        own.started(entry.group)
    }

    /**
     * Time until an entry behind all those of [flow] would start: the distance of its tag from the virtual time, at the
     * rate at which virtual time has passed lately. That leaves out what goes to more urgent ranks, and counts what
     * other workspaces of the rank do and do not use. A tag behind the virtual time waits for the work ahead of it.
     */
    private fun waitMillis(flow: Flow<T>): Double {
        if (size == 0) return 0.0
        val rank = ranks.getValue(flow.group.rank)
        val more = ranks.headMap(flow.group.rank).values.sumOf { it.workMillis }
        val tag = flow.startTag(rank.virtualTime, CREDIT_MILLIS) + flow.workMillis / flow.weight
        val ahead = more + flow.workMillis + rank.flows.values.sumOf { other ->
            if (other === flow) 0.0 else minOf(other.workMillis, other.workBefore(tag, rank.virtualTime))
        }
        val byWork =
            maxOf(ahead / own.running.coerceAtLeast(1), if (flow.isLimited) limitedWaitMillis(rank, flow, tag) else 0.0)
        if (tag <= rank.virtualTime) return byWork
        val weights = rank.flows.values.sumOf { if (it === flow || it.size > 0) it.weight else 0.0 }
        val expected = own.running.coerceAtLeast(1) / weights
        val span = rank.pace.spanMillis / RateMeter.WINDOW_MILLIS
        val pace = rank.pace.perMilli * span + expected * (1 - span)
        return maxOf(byWork, (tag - rank.virtualTime) / pace.coerceAtLeast(MIN_PACE))
    }

    /** Time in which the limited entries ahead of [tag] can start; they have only part of the instance's slots. */
    private fun limitedWaitMillis(rank: Rank<T>, flow: Flow<T>, tag: Double): Double {
        val slots = allowance.limit.coerceAtLeast(1)
        val excess = (own.running(allowance::isLimited) - slots).coerceAtLeast(0)
        val ahead = flow.workMillis + rank.flows.values.sumOf { other ->
            if (other === flow ||
                !other.isLimited
            ) {
                0.0
            } else {
                minOf(other.workMillis, other.workBefore(tag, rank.virtualTime))
            }
        }
        return (ahead + excess * flow.entryWorkMillis) / slots
    }

    private fun Flow<T>.workBefore(tag: Double, virtualTime: Double): Double =
        ((tag - startTag(virtualTime, CREDIT_MILLIS)) * weight).coerceAtLeast(0.0)

    /** Gives up the last entry of the least urgent rank behind [rank] if the work ahead leaves it no time. */
    private fun evictBehind(rank: Int, nowMillis: Long): QueueRefusal<T>? {
        val lowest = ranks.lastEntry()
        if (lowest.key <= rank || lowest.value.waiting == 0) return null
        val slack = longest(lowest.value).last().latestStartMillis - nowMillis
        val work = ranks.headMap(lowest.key).values.sumOf { it.workMillis }
        return if (work / own.running.coerceAtLeast(1) > slack) evictLast(lowest.value, nowMillis) else null
    }

    private fun evictLast(rank: Rank<T>, nowMillis: Long): QueueRefusal<T> {
        val entry = longest(rank).last()
        remove(entry, nowMillis)
        own.refused(entry.group, entry.workMillis, nowMillis)
        return QueueRefusal(entry, RefusalCause.MORE_URGENT_WORK)
    }

    private fun longest(rank: Rank<T>): Flow<T> =
        rank.flows.values.filter { it.size > 0 }.maxBy { it.workMillis / it.weight }

    private fun updateMeters(nowMillis: Long) {
        for (rank in ranks.values) rank.pace.update(nowMillis, rank.waiting > 0)
    }

    private fun flowOf(group: ShareGroup, nowMillis: Long): Flow<T> {
        val rank = ranks.getOrPut(group.rank) { Rank() }
        if (rank.flows.size > MAX_FLOWS) {
            rank.flows.values.removeIf { it.size == 0 && nowMillis - it.lastUsedMillis > FORGET_MILLIS }
        }
        val flow = rank.flows.getOrPut(group) { Flow<T>(group).also(::applyShare) }
        flow.lastUsedMillis = nowMillis
        return flow
    }

    private fun applyShare(flow: Flow<T>) {
        flow.isLimited = allowance.isLimited(flow.group)
        val factor = if (flow.isLimited) 1.0 else UNLIMITED_WEIGHT_FACTOR
        flow.weight = maxOf(allowance.portionOf(flow.group) * factor, MIN_WEIGHT_SLOTS)
    }

    public companion object {
        /** Entries tried in vain each time the queue wakes, so that a blocked head does not block all others. */
        public const val MAX_TRIES: Int = 8

        /** Leaves tries for other workspaces if all entries of one are blocked. */
        private const val MAX_TRIES_PER_WORKSPACE = 3

        /** Bounds the memory of the queue; far more than can be started in time. */
        private const val MAX_ENTRIES = 4_096
        private const val MAX_FLOWS = 64
        private const val FORGET_MILLIS = 10_000L

        /**
         * Virtual time that a workspace may run ahead. Its requests come in clusters and its portion at one instance is
         * often below one slot, so that it would wait for seconds although it uses less than its share.
         */
        private const val CREDIT_MILLIS = 4_000.0

        /** Part of its slack after which a limited entry has to start by the estimate; the rest is for its error. */
        private const val USABLE_SLACK = 0.4

        /** Entries with less slack go first within their rank, since they were accepted to be started in time. */
        private const val RESCUE_MILLIS = 300L

        /**
         * Factor on the weight of a workspace that asks for less than its share: its requests come in clusters and need
         * not wait for those of a workspace that asks for more.
         */
        private const val UNLIMITED_WEIGHT_FACTOR = 4.0
        private const val MIN_PACE = 0.01
        private const val MIN_WEIGHT_SLOTS = 0.05
    }
}
