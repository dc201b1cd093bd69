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
 * Group membership of the entry instances, based on heartbeats with expiry and on explicit leave messages.
 *
 * At each interval an instance sends a heartbeat to all members of a small group, or to a few random members of its own
 * and of other failure domains in a large one. The response is the receiver's own heartbeat. A member without news for
 * [SUSPECT_AFTER], longer in a large group, is suspect. A member has departed, permanently, if it sent `Leave`, its
 * port refused a connection or another instance answers at its address. Callers that learn of a departure from the
 * platform's list report it through [markDeparted].
 *
 * The announcements with expiry and explicit leaves follow the MESH signaling specification of DXOS.
 */
public class Membership(private val context: NodeContext) {
    private val extensions = mutableListOf<HeartbeatExtension>()
    private class LastSeen(val instance: Instance, val at: ComparableTimeMark)

    private val self: Instance = context.self
    private val lastSeen = mutableMapOf<InstanceId, LastSeen>()
    private val departed = mutableMapOf<InstanceId, ComparableTimeMark>()
    private val state = MutableStateFlow(
        MembershipView(self, mapOf(self.id to Member(self, Member.State.ALIVE))),
    )

    /** The current view; updated each time a member joins, is suspected, recovers or departs. */
    public val view: StateFlow<MembershipView> = state.asStateFlow()

    /** Adds [extension] to the heartbeats. Extensions depend on [view], so they can't be constructor parameters. */
    public fun attach(extension: HeartbeatExtension) {
        extensions += extension
    }

    /** Starts to send heartbeats. */
    public fun start() {
        context.scope.launch {
            while (isActive) {
                heartbeatTargets().forEach { launch { exchangeHeartbeats(it) } }
                updateView()
                delay(interval())
            }
        }
    }

    /** Handles a heartbeat or leave message of a peer; returns null for other messages. */
    public fun handle(message: PeerMessage): PeerMessage? = when (message) {
        is Heartbeat -> {
            // If this process was suspended, the request may have waited in its buffers for an unknown time.
            receive(message, HEARTBEAT_TIMEOUT.inWholeMilliseconds, UNBOUNDED_AGE_MILLIS)
            heartbeat()
        }

        is PeerMessage.Leave -> {
            markDeparted(message.instance)
            PeerMessage.Ack
        }

        else -> null
    }

    /** Records that [id] is confirmed departed; it can't join again under this id. */
    public fun markDeparted(id: InstanceId) {
        if (id == self.id || id in departed) return
        departed[id] = context.time.markNow()
        lastSeen.remove(id)
        log.info { "member: $id is gone" }
        updateView()
    }

    /** Notifies all live members that this instance leaves. */
    public suspend fun leave() {
        val message = PeerMessage.Leave(self.id)
        state.value.alive.filter { it.id != self.id }.forEach {
            context.peers.call(it.peerAddress, message, HEARTBEAT_TIMEOUT)
        }
    }

    /** Sends a heartbeat at once, to at most 16 live members, to spread changes before the next interval. */
    public fun announce() {
        state.value.alive.filter { it.id != self.id }.take(MAX_FULL_MESH_MEMBERS).forEach {
            context.scope.launch { exchangeHeartbeats(it.peerAddress, it.id) }
        }
    }

    private data class Target(val address: String, val id: InstanceId?)

    private fun heartbeatTargets(): List<Target> {
        val peers = state.value.members.values.map { it.instance }.filter { it.id != self.id }
        val chosen = if (peers.size < MAX_FULL_MESH_MEMBERS) {
            peers
        } else {
            val (own, other) = peers.partition { it.failureDomain == self.failureDomain }
            own.shuffled(context.random).take(OWN_DOMAIN_FANOUT) +
                other.shuffled(context.random).take(OTHER_DOMAINS_FANOUT)
        }
        val known = peers.map { it.peerAddress }.toSet() + self.peerAddress
        // Seeds that are not members are tried at each interval, as partitions may heal and instances may restart.
        val seeds = context.seeds.filter { it !in known }.shuffled(context.random).take(SEEDS_PER_INTERVAL)
        return chosen.map { Target(it.peerAddress, it.id) } + seeds.map { Target(it, null) }
    }

    private suspend fun exchangeHeartbeats(target: Target) = exchangeHeartbeats(target.address, target.id)

    private suspend fun exchangeHeartbeats(address: String, expected: InstanceId?) {
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
        val sampleSize = if (isLargeGroup()) MAX_HEARTBEAT_ENTRIES else SMALL_GROUP_ENTRIES
        val sample = lastSeen.values.shuffled(context.random).take(sampleSize)
        val base = Heartbeat(
            sender = self,
            members = sample.map { MemberDigest(it.instance, it.at.elapsedNow().inWholeMilliseconds) },
            departed = departed.entries.sortedByDescending { it.value }.take(MAX_HEARTBEAT_ENTRIES).map { it.key },
        )
        return extensions.fold(base) { beat, extension -> extension.fill(beat) }
    }

    private fun receive(beat: Heartbeat, ageMillis: Long, boundMillis: Long = ageMillis) {
        if (beat.sender.id in departed) return
        beat.departed.forEach { markDeparted(it) }
        recordSeen(beat.sender, Duration.ZERO)
        beat.members.forEach { recordSeen(it.instance, (it.ageMillis + ageMillis).milliseconds) }
        updateView()
        extensions.forEach { it.receive(beat, boundMillis) }
    }

    private fun recordSeen(instance: Instance, age: Duration) {
        if (instance.id == self.id || instance.id in departed) return
        val at = context.time.markNow() - age
        val known = lastSeen[instance.id]
        if (known == null || known.at < at) lastSeen[instance.id] = LastSeen(instance, at)
    }

    private fun updateView() {
        departed.entries.removeAll { it.value.elapsedNow() > DEPARTED_RETENTION }
        val limit = suspectAfter()
        val others = lastSeen.mapValues { (_, it) ->
            Member(it.instance, if (it.at.elapsedNow() < limit) Member.State.ALIVE else Member.State.SUSPECT)
        }
        val next = MembershipView(self, others + (self.id to Member(self, Member.State.ALIVE)), departed.keys.toSet())
        if (next != state.value) state.value = next
    }

    private fun isLargeGroup(): Boolean = lastSeen.size >= MAX_FULL_MESH_MEMBERS

    private fun interval(): Duration = if (isLargeGroup()) LARGE_GROUP_INTERVAL else INTERVAL

    private fun suspectAfter(): Duration = if (isLargeGroup()) LARGE_GROUP_SUSPECT_AFTER else SUSPECT_AFTER

    public companion object {
        /** Time between heartbeats in a small group. */
        public val INTERVAL: Duration = 500.milliseconds

        /** Time without news of a member after which it is suspect in a small group. */
        public val SUSPECT_AFTER: Duration = 2.seconds

        /** Timeout for the response to a heartbeat. */
        public val HEARTBEAT_TIMEOUT: Duration = 1.seconds

        private val LARGE_GROUP_INTERVAL = 1.seconds

        // In a large group, news of a member arrives through other members, which takes several intervals.
        private val LARGE_GROUP_SUSPECT_AFTER = 8.seconds

        // Exceeds the expected duration of a partition between regions, after which stale news could re-add a member.
        private val DEPARTED_RETENTION = 7200.seconds
        private const val MAX_FULL_MESH_MEMBERS = 16
        private const val OWN_DOMAIN_FANOUT = 4
        private const val OTHER_DOMAINS_FANOUT = 2
        private const val SEEDS_PER_INTERVAL = 2
        private const val MAX_HEARTBEAT_ENTRIES = 12

        // Members of a small group exchange heartbeats directly; the sample only announces new members.
        private const val SMALL_GROUP_ENTRIES = 2

        // Half of the range, so that adding an age does not overflow.
        private const val UNBOUNDED_AGE_MILLIS = Long.MAX_VALUE / 2
    }
}
