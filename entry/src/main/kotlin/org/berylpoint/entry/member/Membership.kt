package org.berylpoint.entry.member

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.berylpoint.entry.node.NodeContext
import org.berylpoint.model.Instance
import org.berylpoint.model.InstanceId
import org.berylpoint.peer.MemberDigest
import org.berylpoint.peer.PeerError
import org.berylpoint.peer.PeerMessage
import org.berylpoint.peer.PeerMessage.Heartbeat
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/**
 * Knows the entry instances by soft-state announcements with expiry and by explicit leaves.
 *
 * Every interval the node sends a heartbeat to all members while there are few, else to a random few of its own
 * failure domain and of others; the answer is the receiver's own heartbeat. A member not heard of for
 * [SUSPECT_AFTER] is suspect. A member is departed, for good, once it said `Leave`, its port refused a connection,
 * or another instance answers at its address; the platform's list may add to that through [markDeparted].
 *
 * Source of announcements with expiry and explicit leaves: MESH signaling specification, DXOS.
 */
public class Membership(private val context: NodeContext) {
    private val parts = mutableListOf<HeartbeatExtension>()
    private class Heard(val instance: Instance, val at: ComparableTimeMark)

    private val self: Instance = context.self
    private val heard = mutableMapOf<InstanceId, Heard>()
    private val departed = mutableMapOf<InstanceId, ComparableTimeMark>()
    private val state = MutableStateFlow(
        MembershipView(self, mapOf(self.id to Member(self, Member.State.ALIVE))),
    )

    /** The current view; a new value each time a member joins, is suspected, recovers or departs. */
    public val view: StateFlow<MembershipView> = state.asStateFlow()

    /** Lets [part] fill in and read heartbeats from now on; parts need [view], so they come after this object. */
    public fun attach(part: HeartbeatExtension) {
        parts += part
    }

    /** Starts to send heartbeats. */
    public fun start() {
        context.scope.launch {
            while (isActive) {
                targets().forEach { launch { exchange(it) } }
                refresh()
                delay(interval())
            }
        }
    }

    /** Answers a heartbeat or a leave of a peer. */
    public fun handle(message: PeerMessage): PeerMessage? = when (message) {
        is Heartbeat -> {
            // The request may have waited in this process's buffers for as long as the process was frozen.
            receive(message, HEARTBEAT_TIMEOUT.inWholeMilliseconds, UNBOUNDED_AGE_MILLIS)
            heartbeat()
        }

        is PeerMessage.Leave -> {
            markDeparted(message.instance)
            PeerMessage.Ack
        }

        else -> null
    }

    /** Notes that [id] is confirmed gone; it is not taken back under this id. */
    public fun markDeparted(id: InstanceId) {
        if (id == self.id || id in departed) return
        departed[id] = context.time.markNow()
        heard.remove(id)
        log.info { "member: $id is gone" }
        refresh()
    }

    /** Tells all live members that this instance stops. */
    public suspend fun leave() {
        val message = PeerMessage.Leave(self.id)
        state.value.alive.filter { it.id != self.id }.forEach {
            context.peers.call(it.peerAddress, message, HEARTBEAT_TIMEOUT)
        }
    }

    /** Sends a heartbeat now to every live member, to spread news without waiting for the next interval. */
    public fun announce() {
        state.value.alive.filter { it.id != self.id }.take(ALL_UP_TO).forEach {
            context.scope.launch { exchange(it.peerAddress, it.id) }
        }
    }

    private data class Target(val address: String, val id: InstanceId?)

    private fun targets(): List<Target> {
        val peers = state.value.members.values.map { it.instance }.filter { it.id != self.id }
        val chosen = if (peers.size < ALL_UP_TO) {
            peers
        } else {
            val (own, other) = peers.partition { it.failureDomain == self.failureDomain }
            own.shuffled(context.random).take(OWN_FANOUT) + other.shuffled(context.random).take(OTHER_FANOUT)
        }
        val known = peers.map { it.peerAddress }.toSet() + self.peerAddress
        // A seed that is no member yet is tried at each interval: partitions heal and instances restart.
        val seeds = context.seeds.filter { it !in known }.shuffled(context.random).take(SEEDS_PER_INTERVAL)
        return chosen.map { Target(it.peerAddress, it.id) } + seeds.map { Target(it, null) }
    }

    private suspend fun exchange(target: Target) = exchange(target.address, target.id)

    private suspend fun exchange(address: String, expected: InstanceId?) {
        val start = context.time.markNow()
        context.peers.call(address, heartbeat(), HEARTBEAT_TIMEOUT).fold(
            ifLeft = { if (it == PeerError.Refused && expected != null) markDeparted(expected) },
            ifRight = {
                if (it is Heartbeat) {
                    if (expected != null && it.sender.id != expected) markDeparted(expected)
                    receive(it, start.elapsedNow().inWholeMilliseconds)
                }
            },
        )
    }

    private fun heartbeat(): Heartbeat {
        val sample = heard.values.shuffled(context.random).take(if (isLarge()) SAMPLE else SMALL_SAMPLE)
        val plain = Heartbeat(
            sender = self,
            members = sample.map { MemberDigest(it.instance, it.at.elapsedNow().inWholeMilliseconds) },
            departed = departed.entries.sortedByDescending { it.value }.take(SAMPLE).map { it.key },
        )
        return parts.fold(plain) { beat, part -> part.fill(beat) }
    }

    private fun receive(beat: Heartbeat, ageMillis: Long, boundMillis: Long = ageMillis) {
        if (beat.sender.id in departed) return
        beat.departed.forEach { markDeparted(it) }
        note(beat.sender, Duration.ZERO)
        beat.members.forEach { note(it.instance, (it.ageMillis + ageMillis).milliseconds) }
        refresh()
        parts.forEach { it.receive(beat, boundMillis) }
    }

    private fun note(instance: Instance, age: Duration) {
        if (instance.id == self.id || instance.id in departed) return
        val at = context.time.markNow() - age
        val known = heard[instance.id]
        if (known == null || known.at < at) heard[instance.id] = Heard(instance, at)
    }

    private fun refresh() {
        departed.entries.removeAll { it.value.elapsedNow() > DEPARTED_KEPT }
        val limit = suspectAfter()
        val others = heard.mapValues { (_, it) ->
            Member(it.instance, if (it.at.elapsedNow() < limit) Member.State.ALIVE else Member.State.SUSPECT)
        }
        val next = MembershipView(self, others + (self.id to Member(self, Member.State.ALIVE)), departed.keys.toSet())
        if (next != state.value) state.value = next
    }

    private fun isLarge(): Boolean = heard.size >= ALL_UP_TO

    private fun interval(): Duration = if (isLarge()) LARGE_INTERVAL else INTERVAL

    private fun suspectAfter(): Duration = if (isLarge()) LARGE_SUSPECT_AFTER else SUSPECT_AFTER

    public companion object {
        /** Time between heartbeats while there are few members. */
        public val INTERVAL: Duration = 500.milliseconds

        /** Time without news of a member until it is suspect. */
        public val SUSPECT_AFTER: Duration = 2.seconds

        /** Wait for the answer to a heartbeat. */
        public val HEARTBEAT_TIMEOUT: Duration = 1.seconds

        private val LARGE_INTERVAL = 1.seconds

        // News of a member travels through others at large sizes, which takes several intervals.
        private val LARGE_SUSPECT_AFTER = 8.seconds

        // Longer than a partition between regions is expected to last, so that a departed member is not re-learnt.
        private val DEPARTED_KEPT = 7200.seconds
        private const val ALL_UP_TO = 16
        private const val OWN_FANOUT = 4
        private const val OTHER_FANOUT = 2
        private const val SEEDS_PER_INTERVAL = 2
        private const val SAMPLE = 12

        // Few members hear of each other directly; the sample only introduces newcomers.
        private const val SMALL_SAMPLE = 2

        // Half of the range, so that adding an age to it does not overflow.
        private const val UNBOUNDED_AGE_MILLIS = Long.MAX_VALUE / 2
    }
}
