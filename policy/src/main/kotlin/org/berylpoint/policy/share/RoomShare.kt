package org.berylpoint.policy.share

import kotlinx.collections.immutable.ImmutableList
import org.berylpoint.model.BackendServerId
import org.berylpoint.policy.Rendezvous
import kotlin.random.Random

/** Requests at one server when the latest reports were written. */
public data class ServerRoom(
    val server: BackendServerId,
    val slots: Int,
    /** Requests of this instance that ran there when the reports were written, not those that run there now. */
    val ownRunning: Int,
    /** Requests of all other instances; those of instances that are not heard as last reported. */
    val othersRunning: Int,
)

/** The servers of one service after a round of reports. */
public data class RoomRound(
    val servers: ImmutableList<ServerRoom>,
    /** Number of instances of the site, with this one. */
    val instances: Int,
    /** Number of those that are not heard. */
    val unheard: Int,
    /** [InstanceAllowance.room]. */
    val part: RoomPart,
)

/**
 * Divides the free slots of each server among the instances.
 *
 * Load pattern: all servers are nearly full, and reports are older than the time in which a slot becomes free. An
 * instance keeps the slots that it used when the reports were written, and gets its fraction of those that were free
 * then. So a slot that one of its own requests leaves is used again at once, while one that it does not use again is
 * seen as free by the others as soon as it has given up its claim. Not thread-safe.
 */
public class RoomShare(private val random: Random) {
    /** [kept] slots were the instance's own, [limit] are with its part of the free ones. */
    private class Room(val kept: Int, val limit: Int, val hadFreeSlot: Boolean, val left: Double)

    private var rooms = emptyMap<BackendServerId, Room>()
    private var unheard = 0
    private var isTight = false
    private var overdraftsLeft = 0

    /** Recomputes the limits of all servers; to be called once in a round of reports. */
    public fun update(round: RoomRound) {
        rooms = round.servers.associate { it.server to room(it, round) }
        unheard = round.unheard
        val slots = round.servers.sumOf { it.slots }
        val free = round.servers.sumOf { (it.slots - it.ownRunning - it.othersRunning).coerceAtLeast(0) }
        isTight = free < slots * TIGHT_FREE_RATIO
        overdraftsLeft = OVERDRAFTS
    }

    /**
     * Number of requests that this instance may send to [server] now, where [ownRunning] of its requests run; 0 for a
     * server of which no round was told.
     */
    public fun places(server: BackendServerId, ownRunning: Int): Int =
        ((rooms[server]?.limit ?: 0) - ownRunning).coerceAtLeast(0)

    /**
     * Those of [servers] to which a request may be sent now, of a group that [isLimited] or not
     * ([InstanceAllowance.isLimited]); [ownRunning] tells how many requests of this
     * instance run at a server. Empty if there is none.
     *
     * Near the capacity, these are first the servers at which a request of this instance has ended: no other instance
     * uses that slot before the next reports. Then come those with a place, and at last, for a few requests of groups
     * that are within their share, a server that had a free slot of other instances, drawn at random.
     */
    public fun candidates(
        servers: Collection<BackendServerId>,
        isLimited: Boolean,
        ownRunning: (BackendServerId) -> Int,
    ): List<BackendServerId> {
        val open = servers.filter { places(it, ownRunning(it)) > 0 }
        val kept = if (isTight) open.filter { ownRunning(it) < rooms.getValue(it).kept } else open
        return kept.ifEmpty { open }.ifEmpty { if (isLimited) emptyList() else listOfNotNull(overdraft(servers)) }
    }

    /** Records that a request was sent to [server] where [ownRunning] requests of this instance ran before. */
    public fun sent(server: BackendServerId, ownRunning: Int) {
        if (places(server, ownRunning) == 0) overdraftsLeft--
    }

    private fun overdraft(servers: Collection<BackendServerId>): BackendServerId? {
        if (overdraftsLeft <= 0) return null
        val free = servers.filter { rooms[it]?.hadFreeSlot == true }
        return if (free.isEmpty()) null else free[random.nextInt(free.size)]
    }

    private fun room(server: ServerRoom, round: RoomRound): Room {
        val running = server.ownRunning + server.othersRunning
        val free = server.slots - running
        val left = left(server.server, free.coerceAtLeast(0), round)
        if (free <= 0) {
            // Servers above their slots are relieved by all instances in proportion to what they run there.
            val excess = if (running > 0) -free.toDouble() * server.ownRunning / running else 0.0
            val kept = rounded(server.ownRunning - excess)
            return Room(kept, kept, hadFreeSlot = false, left)
        }
        val room = (free - left).coerceAtLeast(0.0)
        val limit = server.ownRunning + round.part.wholeSlots(room, offset(server.server))
        return Room(server.ownRunning, limit, room >= 1.0, left)
    }

    /**
     * Slots left to instances that are not heard: an equal portion of those that were free when they fell silent. The
     * portion of what is free later would leave them less in each round.
     */
    private fun left(server: BackendServerId, free: Int, round: RoomRound): Double {
        if (round.unheard == 0) return 0.0
        val before = rooms[server]?.left ?: 0.0
        return when {
            round.unheard > unheard -> before + free.toDouble() * (round.unheard - unheard) / round.instances
            else -> before * round.unheard / unheard
        }
    }

    /** Spreads the whole slots over the instances: at each server, others get them. */
    private fun offset(server: BackendServerId): Double =
        (Rendezvous.weight(OFFSET_KEY, server.value) ushr 1) / Long.MAX_VALUE.toDouble()

    private fun rounded(slots: Double): Int = (slots + random.nextDouble()).toInt()

    private companion object {
        const val OFFSET_KEY = "room"

        /**
         * Part of all slots that are free below which requests stay at the servers where the instance has slots. A slot
         * that it leaves for one elsewhere is unused until reports show it.
         */
        const val TIGHT_FREE_RATIO = 0.25

        /** Requests of one instance in one round that use slots which are not its own. */
        const val OVERDRAFTS = 1
    }
}
