package org.berylpoint.policy.share

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import org.berylpoint.model.InstanceId
import org.berylpoint.model.Workspace
import kotlin.math.exp
import kotlin.random.Random

/**
 * Divides the slots of one service among ranks, workspaces and instances.
 *
 * Load pattern: demand exceeds the capacity, in one workspace, in the least urgent rank or everywhere, and arrives
 * unevenly at the instances. Every instance computes the same shares from the same reports, so that no instance decides
 * for others. Keeps the recent peaks of urgent demand and the slots left to instances that are not heard. Not
 * thread-safe.
 */
public class FairShares(private val random: Random) {
    /** Slots held back for one instance that is not heard. */
    private class Held(val slots: Double)

    private val peaks = ArrayList<Double>()
    private var held = emptyMap<InstanceId, Held>()
    private val averageDemands = HashMap<ShareGroup, Double>()
    private val claims = HashMap<InstanceId, Double>()

    /** Part of each instance in the demand of each group. */
    private val parts = HashMap<InstanceId, HashMap<ShareGroup, Double>>()
    private var updatedMillis: Long? = null

    /**
     * Factor on the capacity that is divided. Some instances have no request for their portion at the moment, and the
     * requests that run include some that wait at their server, so it grows while the reports show free slots; the
     * slots of each server are bounded by [RoomShare].
     */
    private var useFactor = MIN_USE_FACTOR

    /** Where the instance's part of free room lies before it has heard others; kept, so that it is the same part. */
    private val ownPlace = random.nextDouble()
    private var rounding = random.nextDouble()
    private var roundingDrawnMillis = 0L

    /** Computes what this instance may run; to be called once in a round of reports. */
    public fun update(round: ShareRound): InstanceAllowance {
        val elapsedMillis = round.nowMillis - (updatedMillis ?: round.nowMillis)
        val isFirst = updatedMillis == null
        updatedMillis = round.nowMillis
        if (round.nowMillis - roundingDrawnMillis > ROUNDING_MILLIS) {
            rounding = random.nextDouble()
            roundingDrawnMillis = round.nowMillis
        }
        if (round.others.isEmpty() && round.instances > 1) return equalPortion(round)
        val heard = round.others.filter { it.isHeard } + round.own
        val capacity = (round.capacity - hold(round)).coerceAtLeast(0.0)
        val sums = HashMap<ShareGroup, SlotDemand>()
        for (instance in heard) {
            for ((group, demand) in instance.groups) sums.merge(group, demand, SlotDemand::plus)
        }
        val ranks = (sums.keys.maxOfOrNull { it.rank } ?: 0) + 1
        updatePeaks(sums, ranks, elapsedMillis)
        updateAverages(sums, elapsedMillis)
        val division = divide(sums, heard, capacity * useFactor, round.weights, ranks)
        updateParts(heard, sums, if (isFirst) Long.MAX_VALUE else elapsedMillis)
        val unused = USE_TARGET - heard.sumOf { it.running } / capacity.coerceAtLeast(1.0)
        useFactor = if (division.isLimited) {
            (useFactor + unused * USE_GAIN * elapsedMillis).coerceIn(MIN_USE_FACTOR, MAX_USE_FACTOR)
        } else {
            MIN_USE_FACTOR + (useFactor - MIN_USE_FACTOR) * exp(-elapsedMillis / DEMAND_MILLIS)
        }
        return allowance(round, heard, division, sums, elapsedMillis)
    }

    private fun equalPortion(round: ShareRound): InstanceAllowance {
        val portion = round.capacity / round.instances
        val limit = rounded(portion)
        val from = ownPlace * (1 - 1.0 / round.instances)
        val equal = RoomPart(from, from + 1.0 / round.instances)
        return InstanceAllowance(true, limit, persistentMapOf(), equal, persistentListOf(portion))
    }

    /**
     * Slots to leave to the instances that are not heard: what each last reported, and an equal portion of the room
     * that was free when it fell silent. Room that becomes free later is not left to it, since it would be counted
     * again in each round.
     */
    private fun hold(round: ShareRound): Double {
        val silent = round.others.filterNot { it.isHeard }
        val free = (round.capacity - round.own.running - round.others.sumOf { it.running }).coerceAtLeast(0.0)
        held = silent.associate { other ->
            val before = held[other.instance]
            other.instance to (before ?: Held(other.running + free / round.instances))
        }
        return held.values.sumOf { it.slots }
    }

    private fun updatePeaks(sums: Map<ShareGroup, SlotDemand>, ranks: Int, elapsedMillis: Long) {
        while (peaks.size < ranks) peaks += 0.0
        val kept = exp(-elapsedMillis / PEAK_MILLIS)
        for (rank in peaks.indices) {
            val demand = sums.entries.sumOf { if (it.key.rank == rank) it.value.sustained else 0.0 }
            peaks[rank] = maxOf(demand, demand + (peaks[rank] - demand) * kept)
        }
    }

    private fun updateAverages(sums: Map<ShareGroup, SlotDemand>, elapsedMillis: Long) {
        val kept = exp(-elapsedMillis / DEMAND_MILLIS)
        averageDemands.keys.retainAll(sums.keys)
        for ((group, demand) in sums) {
            val before = averageDemands[group] ?: demand.sustained
            averageDemands[group] = demand.sustained + (before - demand.sustained) * kept
        }
    }

    /** Shares of all groups, and the slots that each rank holds in reserve beyond its demand. */
    private class Division(
        val groups: Map<ShareGroup, GroupShare>,
        val reserves: DoubleArray,
        /** Slots to which a workspace of weight 1 is entitled, by rank. */
        val levels: DoubleArray,
        /** Whether the demand of a rank does not fit. */
        val isLimited: Boolean,
    )

    private fun divide(
        sums: Map<ShareGroup, SlotDemand>,
        heard: List<InstanceDemand>,
        capacity: Double,
        weights: Map<Workspace, Double>,
        ranks: Int,
    ): Division {
        val groups = HashMap<ShareGroup, GroupShare>()
        val reserves = DoubleArray(ranks)
        val levels = DoubleArray(ranks)
        var remaining = capacity
        var isLimited = false
        for (rank in 0 until ranks) {
            val claims = sums.entries.filter { it.key.rank == rank && it.value.sustained > 0 }
            val current = DoubleArray(claims.size) { claims[it].value.sustained }
            val averages = DoubleArray(claims.size) { averageDemands.getValue(claims[it].key) }
            // The start and the end of an overload are seen in the current demand first.
            val demands = if (minOf(averages.sum(), current.sum()) <= remaining) current else averages
            val claimWeights = DoubleArray(claims.size) { weightOf(claims[it].key, heard, weights) }
            val level = WaterFilling.level(remaining, demands, claimWeights)
            if (level.isFinite()) isLimited = true
            // A group below the level may use the level before it has to wait for others of its rank.
            val entitled = if (level.isFinite()) level else remaining / claimWeights.sum().coerceAtLeast(1.0)
            levels[rank] = entitled
            claims.forEachIndexed { i, (group, _) ->
                val share = minOf(demands[i], claimWeights[i] * level)
                groups[group] = GroupShare(share, demands[i], maxOf(share, claimWeights[i] * entitled))
                remaining -= share
            }
            if (rank < ranks - 1) {
                reserves[rank] =
                    (peaks[rank] - demands.sum()).coerceIn(
                        0.0,
                        minOf(peaks[rank] * MAX_RESERVE_RATIO, remaining.coerceAtLeast(0.0)),
                    )
                remaining -= reserves[rank]
            }
        }
        return Division(groups, reserves, levels, isLimited)
    }

    private fun weightOf(group: ShareGroup, heard: List<InstanceDemand>, weights: Map<Workspace, Double>): Double {
        val workspace = group.workspace
        if (workspace != null) return weights[workspace] ?: 1.0
        // The sum stands for several workspaces; none of them is among the largest anywhere, so one weight for each
        // instance that has such a sum is at most what they could claim by name.
        return heard.count { group in it.groups }.coerceIn(1, MAX_REST_WEIGHT).toDouble()
    }

    private fun updateParts(heard: List<InstanceDemand>, sums: Map<ShareGroup, SlotDemand>, elapsedMillis: Long) {
        val kept = exp(-elapsedMillis / SMOOTHING_MILLIS)
        parts.keys.retainAll(heard.map { it.instance }.toSet())
        for (instance in heard) {
            val known = parts.getOrPut(instance.instance) { HashMap() }
            known.keys.retainAll(sums.keys)
            known.replaceAll { _, part -> part * kept }
            for ((group, demand) in instance.groups) {
                val part = demand.total / sums.getValue(group).total.coerceAtLeast(MIN_DEMAND_SLOTS)
                known.merge(group, part * (1 - kept), Double::plus)
            }
        }
    }

    /** Slots of [instance] for the groups that ask for more than their share. */
    private fun limitedPortion(instance: InstanceId, division: Division): Double =
        parts.getValue(instance).entries.sumOf { (group, part) ->
            division.groups[group]?.let { if (it.isLimited) it.share * part else 0.0 } ?: 0.0
        }

    private fun allowance(
        round: ShareRound,
        heard: List<InstanceDemand>,
        division: Division,
        sums: Map<ShareGroup, SlotDemand>,
        elapsedMillis: Long,
    ): InstanceAllowance {
        val limit = rounded(limitedPortion(round.own.instance, division))
        val ownGroups = division.groups.mapValues { (group, share) ->
            // At least an equal part: a workspace with little demand often has none here in the latest report.
            val part = (round.own.groups[group]?.total ?: 0.0) / sums.getValue(group).total
            share.copy(portion = share.portion * maxOf(part, 1.0 / heard.size))
        }
        return InstanceAllowance(
            isLimited = division.isLimited,
            limit = if (division.isLimited) limit else Int.MAX_VALUE,
            groups = ownGroups.toImmutableMap(),
            room = roomPart(heard, round.own.instance, division, elapsedMillis),
            defaultPortions = division.levels.map { it / heard.size }.toImmutableList(),
        )
    }

    /**
     * The part of each free slot that is this instance's. Free slots go to instances that run less than their portion,
     * or by demand while nothing is limited. Claims are smoothed, since the same slot is seen as free in several rounds
     * and would otherwise go to another instance in each of them.
     */
    private fun roomPart(heard: List<InstanceDemand>, own: InstanceId, division: Division, elapsed: Long): RoomPart {
        val base = heard.sumOf { it.demandTotal() } + BASE_DEMAND_SLOTS * heard.size
        val kept = exp(-elapsed / CLAIM_MILLIS)
        claims.keys.retainAll(heard.map { it.instance }.toSet())
        var before = 0.0
        var sum = 0.0
        for (instance in heard) {
            val byDemand = (instance.demandTotal() + BASE_DEMAND_SLOTS) / base
            val missing = missing(instance, division)
            val claim = if (division.isLimited) missing + byDemand else byDemand
            val smoothed = claim + ((claims[instance.instance] ?: claim) - claim) * kept
            claims[instance.instance] = smoothed
            sum += smoothed
            if (instance.instance.value < own.value) before += smoothed
        }
        return RoomPart(before / sum, (before + claims.getValue(own)) / sum)
    }

    /** Slots that [instance] may still take for its requests that are limited, and that the others wait for. */
    private fun missing(instance: InstanceDemand, division: Division): Double {
        var free = limitedPortion(instance.instance, division)
        var waiting = 0.0
        for ((group, demand) in instance.groups) {
            if (division.groups[group]?.isLimited == true) free -= demand.running else waiting += demand.waiting
        }
        return free.coerceAtLeast(0.0) + waiting
    }

    private fun InstanceDemand.demandTotal(): Double = groups.values.sumOf { it.total }

    private fun rounded(slots: Double): Int = (slots + rounding).toInt()

    private companion object {
        /**
         * Time constant of the demand that decides on shares. Requests come in clusters, and a workspace that exceeds
         * its share for less than the run time of a few requests should not be refused for it.
         */
        const val DEMAND_MILLIS = 2_000.0

        /** Time constant with which a peak of urgent demand is forgotten. */
        const val PEAK_MILLIS = 2_000.0

        /** Reserve of a rank as a part of its peak demand; slots in reserve are unused most of the time. */
        const val MAX_RESERVE_RATIO = 0.03

        /**
         * Time constant with which an instance's portion follows its demand. A slot that moves to another instance
         * stays unused until a report shows it.
         */
        const val SMOOTHING_MILLIS = 2_000.0

        /** Time for which a fraction of a slot is rounded the same way; a change leaves a slot unused for a while. */
        const val ROUNDING_MILLIS = 3_000L

        /** Time constant of the claims to free slots. */
        const val CLAIM_MILLIS = 500.0

        /** Change of the use factor per millisecond for each part of the capacity that is not used. */
        const val USE_GAIN = 0.001

        /** Requests as a part of the slots; above 1, since some servers have more than their slots, others less. */
        const val USE_TARGET = 1.06
        const val MIN_USE_FACTOR = 1.0
        const val MAX_USE_FACTOR = 1.25
        const val MIN_DEMAND_SLOTS = 1e-3
        const val MAX_REST_WEIGHT = 8

        /** Demand that each instance is taken to have, so that one without demand can start a first request. */
        const val BASE_DEMAND_SLOTS = 1.0
    }
}
