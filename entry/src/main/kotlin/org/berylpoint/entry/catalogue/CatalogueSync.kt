package org.berylpoint.entry.catalogue

import arrow.core.Either
import arrow.core.left
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.berylpoint.entry.http.StateDump
import org.berylpoint.entry.member.HeartbeatExtension
import org.berylpoint.entry.member.MembershipView
import org.berylpoint.entry.node.NodeContext
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueChange
import org.berylpoint.model.CatalogueFault
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.Instance
import org.berylpoint.model.InstanceId
import org.berylpoint.model.Problem
import org.berylpoint.peer.PeerMessage
import org.berylpoint.peer.PeerMessage.CatalogueData
import org.berylpoint.peer.PeerMessage.FetchCatalogue
import org.berylpoint.peer.PeerMessage.Heartbeat
import org.berylpoint.platform.TableService
import org.berylpoint.policy.Rendezvous
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.ExperimentalTime

private val log = KotlinLogging.logger {}

/**
 * Commits catalogue updates and puts every accepted version into force on this instance.
 *
 * An instance receives new versions in three ways: pushed by the instance that committed them, fetched from a peer
 * whose heartbeat has a higher version, or polled from the table by two instances of each failure domain. A version is
 * never replaced by a lower one.
 *
 * [current] is null until the start-up is complete; it then has the highest version found in the table and on the peers
 * that responded. While the table is unavailable, the start-up waits until membership is known from heartbeats, so that
 * a restarted instance does not serve an older catalogue than its peers.
 *
 * Suspending functions may be called from any thread and run on the node's dispatcher.
 */
public class CatalogueSync(
    private val context: NodeContext,
    private val membership: StateFlow<MembershipView>,
    table: TableService,
) : CatalogueSource,
    HeartbeatExtension,
    StateDump {
    private val self = context.self
    private val store = CatalogueStore(table, context.objects, context.time)
    private val inForce = MutableStateFlow<Catalogue?>(null)
    private val confirmations = CatalogueConfirmations(membership)
    private val freshness = CatalogueFreshness()
    private val recentUpdates = UpdateWindow()
    private val fetchingFrom = mutableSetOf<InstanceId>()

    /** The catalogue of the highest version received or read; published as [current] when the start-up is complete. */
    private var newest: Catalogue? = null
    private var isStarted = false
    private var commitCount = 0L

    override val name: String = "catalogue"

    override val current: StateFlow<Catalogue?> = inForce.asStateFlow()

    private val newestVersion: Long get() = newest?.version ?: NO_VERSION

    /** Starts loading the catalogue, and polls the table afterwards. */
    public fun start() {
        context.scope.launch {
            bootstrap()
            poll()
        }
    }

    /** Responds to a peer's message about the catalogue; null for other messages. */
    public fun handle(from: InstanceId, message: PeerMessage): PeerMessage? = when (message) {
        is FetchCatalogue -> answerFetch(message)
        is CatalogueData -> acceptPush(from, message)
        else -> null
    }

    override fun fill(heartbeat: Heartbeat): Heartbeat {
        val age = freshness.ageOf(newestVersion)?.inWholeMilliseconds
        return heartbeat.copy(
            catalogueVersion = inForce.value?.version ?: 0,
            catalogueProofAgeMillis = age ?: NO_PROOF_AGE,
        )
    }

    override fun receive(heartbeat: Heartbeat, ageMillis: Long) {
        val sender = heartbeat.sender
        confirmations.record(sender.id, heartbeat.catalogueVersion)
        when {
            heartbeat.catalogueVersion > newestVersion -> fetchInBackground(sender)

            heartbeat.catalogueVersion == newestVersion && heartbeat.catalogueProofAgeMillis >= 0 -> {
                val age = (heartbeat.catalogueProofAgeMillis + ageMillis).milliseconds
                freshness.record(newestVersion, context.time.markNow() - age)
            }
        }
    }

    /** The version that each member, this instance included, has confirmed to be in force; 0 for none so far. */
    public fun confirmations(): Map<InstanceId, Long> = confirmations.ofMembers().mapValues { (id, version) ->
        if (id == self.id) inForce.value?.version ?: 0 else version
    }

    /** Pushes the catalogue to the members that have not confirmed its version, and returns all [confirmations]. */
    public suspend fun refreshConfirmations(): Map<InstanceId, Long> = onNode {
        val catalogue = inForce.value
        if (catalogue != null) {
            val late = confirmations().filterValues { it < catalogue.version }.keys
            push(catalogue, membership.value.members.values.map { it.instance }.filter { it.id in late })
        }
        confirmations()
    }

    /** The faults of [update] with respect to the catalogue in force; empty if there is no catalogue yet. */
    public fun findFaults(update: CatalogueUpdate): List<CatalogueFault> =
        inForce.value?.let { faultsOf(it, update) }.orEmpty()

    override suspend fun submit(update: CatalogueUpdate): Either<Problem, Long> = onNode {
        if (update.expectedVersion > newestVersion) load()
        val catalogue = newest
        when {
            catalogue == null || !isStarted -> Problem(ErrorKind.NotReady, "no catalogue has been received yet").left()

            catalogue.version != update.expectedVersion -> Problem(
                ErrorKind.VersionConflict,
                "the catalogue has version ${catalogue.version}, the update expects ${update.expectedVersion}",
            ).left()

            else -> commit(catalogue, update)
        }
    }

    private suspend fun commit(catalogue: Catalogue, update: CatalogueUpdate): Either<Problem, Long> {
        val faults = faultsOf(catalogue, update)
        if (faults.isNotEmpty()) return Problem(ErrorKind.InvalidCatalogue, faults.joinToString("; ")).left()
        val start = context.time.markNow()
        val result = store.commit(update, "${self.id}/${commitCount++}")
        result.fold(
            ifLeft = { context.scope.launch { load() } },
            ifRight = { version ->
                log.info { "catalogue: version $version is accepted" }
                install(catalogue.replay(update), listOf(update))
                freshness.record(version, start)
                // In the background, so that an operator's call does not wait for peers that don't respond.
                context.scope.launch { pushToPeers(catalogue.replay(update)) }
            },
        )
        return result
    }

    @OptIn(ExperimentalTime::class)
    private fun faultsOf(catalogue: Catalogue, update: CatalogueUpdate): List<CatalogueFault> {
        val domains = membership.value.members.values.map { it.instance.failureDomain }.toSet()
        val now = context.wallClock.now().toEpochMilliseconds()
        val inThePast = update.changes.filterIsInstance<CatalogueChange.MoveTraffic>()
            .filter { it.completeByEpochMillis in 1..now }
            .map {
                val time = "${it.completeByEpochMillis}"
                CatalogueFault("move of ${it.requestClass}", "completeByEpochMillis", time, "a time after now, $now")
            }
        return catalogue.apply(update, domains).fold({ it }, { emptyList() }) + inThePast
    }

    /** Replaces the newest catalogue by [next] if its version is higher; [updates] are the last ones that led to it. */
    private fun install(next: Catalogue, updates: List<CatalogueUpdate>) {
        val previous = newestVersion
        if (next.version <= previous) return
        if (updates.isNotEmpty()) recentUpdates.add(updates.filter { it.expectedVersion >= previous })
        snapshotIfDue(next, updates)
        newest = next
        publish()
    }

    private fun publish() {
        val next = newest ?: return
        if (!isStarted || next.version <= (inForce.value?.version ?: NO_VERSION)) return
        inForce.value = next
        log.info { "catalogue: version ${next.version} is in force" }
    }

    /**
     * Writes a snapshot of [next] if it is due and this instance is one of its [SNAPSHOT_WRITERS] writers.
     *
     * The second writer covers for a first one that never installs exactly this version.
     */
    private fun snapshotIfDue(next: Catalogue, updates: List<CatalogueUpdate>) {
        val isDue = next.version % CatalogueRows.SNAPSHOT_INTERVAL_VERSIONS == 0L && updates.isNotEmpty()
        val key = "snapshot/${next.version}"
        val writers = Rendezvous.ranked(key, membership.value.alive) { it.id.value }.take(SNAPSHOT_WRITERS)
        if (isDue && writers.any { it.id == self.id }) context.scope.launch { store.writeSnapshot(next) }
    }

    // Start-up

    private suspend fun bootstrap() {
        val start = context.time.markNow()
        var currentLoad: Deferred<Boolean>? = null
        while (context.scope.isActive) {
            // A load that exceeds START_TABLE_TIMEOUT is not cancelled, as a large catalogue may be slow to read.
            val tableLoad = currentLoad?.takeUnless { it.isCompleted } ?: context.scope.async { load() }
            currentLoad = tableLoad
            val peers = context.scope.async { fetchFromPeers() }
            val reachesTable = withTimeoutOrNull(START_TABLE_TIMEOUT) { tableLoad.await() } ?: false
            peers.await()
            if (newest != null && (reachesTable || start.elapsedNow() >= MIN_START_TIME_WITHOUT_TABLE)) break
            delay(START_RETRY_DELAY)
        }
        isStarted = true
        publish()
    }

    private suspend fun fetchFromPeers() = coroutineScope {
        val members = membership.value.members.values.map { it.instance.peerAddress }
        val chosen = members.shuffled(context.random).take(START_MAX_PEERS)
        val addresses = (chosen + context.seeds).toSet() - self.peerAddress
        addresses.map { async { fetch(it) } }.awaitAll()
    }

    // Table

    private suspend fun poll() {
        while (context.scope.isActive) {
            delay(POLL_INTERVAL * (1 + POLL_JITTER * context.random.nextDouble(-1.0, 1.0)))
            if (isPoller()) load()
        }
    }

    private fun isPoller(): Boolean {
        val candidates = membership.value.aliveIn(self.failureDomain)
        return Rendezvous.ranked("catalogue/head", candidates) { it.id.value }
            .take(POLLERS_PER_DOMAIN).any { it.id == self.id }
    }

    /** Reads the table's changes since the newest catalogue; returns false if the table service failed. */
    private suspend fun load(): Boolean {
        val start = context.time.markNow()
        val result = try {
            store.load(newest)
        } catch (e: CancellationException) {
            throw e
        } catch (e: RuntimeException) {
            log.error(e) { "catalogue: the rows in the table can't be read" }
            return false
        }
        result.onRight {
            install(it.catalogue, it.updates)
            if (it.catalogue.version == newestVersion) freshness.record(newestVersion, start)
        }
        return result.isRight()
    }

    // Peers

    private suspend fun pushToPeers(catalogue: Catalogue) {
        val peers = membership.value.alive.filter { it.id != self.id }
        val isFullPush = peers.size <= FULL_PUSH_MAX_PEERS
        push(catalogue, if (isFullPush) peers else peers.shuffled(context.random).take(COMMITTER_PUSH_FANOUT))
    }

    private suspend fun push(catalogue: Catalogue, targets: List<Instance>) = coroutineScope {
        val lastUpdate = recentUpdates.between(catalogue.version - 1, catalogue.version)
        val message = if (lastUpdate != null) CatalogueData(null, lastUpdate) else CatalogueData(catalogue)
        targets.forEach { target ->
            launch {
                context.peers.call(target.peerAddress, message, PEER_TIMEOUT).onRight {
                    if (it is PeerMessage.Ack) confirmations.record(target.id, catalogue.version)
                }
            }
        }
    }

    private fun acceptPush(from: InstanceId, data: CatalogueData): PeerMessage {
        val previousVersion = newestVersion
        val offeredVersion = data.catalogue?.version
            ?: data.updates.lastOrNull()?.let { it.expectedVersion + 1 }
            ?: NO_VERSION
        confirmations.record(from, offeredVersion)
        installReceived(data)
        if (newestVersion > previousVersion) forwardPush()
        if (inForce.value.let { it != null && it.version >= offeredVersion }) return PeerMessage.Ack
        membership.value.members[from]?.let { fetchInBackground(it.instance) }
        return PeerMessage.Refusal("the catalogue has version $newestVersion")
    }

    /** In a large cluster, the committing instance pushes to a few peers only, and each of them to a few more. */
    private fun forwardPush() {
        val peers = membership.value.alive.filter { it.id != self.id }
        val catalogue = newest
        if (peers.size > FULL_PUSH_MAX_PEERS && catalogue != null) {
            context.scope.launch { push(catalogue, peers.shuffled(context.random).take(FORWARD_PUSH_FANOUT)) }
        }
    }

    private fun answerFetch(message: FetchCatalogue): CatalogueData {
        val catalogue = inForce.value
        if (catalogue == null || catalogue.version <= message.known) return CatalogueData(null)
        val updates = recentUpdates.between(message.known, catalogue.version) ?: return CatalogueData(catalogue)
        return CatalogueData(null, updates)
    }

    private fun fetchInBackground(peer: Instance) {
        if (fetchingFrom.size >= MAX_FETCHES || !fetchingFrom.add(peer.id)) return
        context.scope.launch {
            try {
                fetch(peer.peerAddress)
            } finally {
                fetchingFrom -= peer.id
            }
        }
    }

    private suspend fun fetch(address: String) {
        context.peers.call(address, FetchCatalogue(newestVersion), PEER_TIMEOUT).onRight { answer ->
            if (answer is CatalogueData) installReceived(answer)
        }
    }

    private fun installReceived(data: CatalogueData) {
        data.catalogue?.let { install(it, emptyList()) }
        val base = newest ?: return
        val next = data.updates.filter { it.expectedVersion >= base.version }
        val follows = next.withIndex().all { (index, update) -> update.expectedVersion == base.version + index }
        if (follows && next.isNotEmpty()) install(next.fold(base, Catalogue::replay), next)
    }

    /** Runs [block] on the node's dispatcher; it completes even if the caller is cancelled. */
    private suspend fun <T> onNode(block: suspend () -> T): T = context.scope.async { block() }.await()

    override fun dump(): JsonElement = buildJsonObject {
        put("version", inForce.value?.version)
        put("entries", inForce.value?.entries?.size)
        put("started", isStarted)
        put("proofAgeMillis", freshness.age?.inWholeMilliseconds)
        putJsonObject("confirmed") { confirmations().forEach { (id, version) -> put(id.value, version) } }
    }

    private companion object {
        /** Lower than every version; version 0 is the empty catalogue of a new deployment. */
        const val NO_VERSION = -1L

        /** Value of the heartbeat's field when there is no proof for the newest version. */
        const val NO_PROOF_AGE = -1L
        const val POLLERS_PER_DOMAIN = 2
        val POLL_INTERVAL: Duration = 1.seconds

        /** Fraction of the interval by which a poll is moved at random, so that pollers don't read in lockstep. */
        const val POLL_JITTER = 0.1
        val PEER_TIMEOUT: Duration = 1.seconds

        /** How long a table that does not respond delays the start before the peers' versions alone are used. */
        val START_TABLE_TIMEOUT: Duration = 2.seconds

        /** Three heartbeat intervals: after these, the members and their versions are known from the seeds. */
        val MIN_START_TIME_WITHOUT_TABLE: Duration = 1500.milliseconds
        val START_RETRY_DELAY: Duration = 250.milliseconds
        const val START_MAX_PEERS = 16

        /** A peer that does not respond blocks one fetch for [PEER_TIMEOUT]; the others continue meanwhile. */
        const val MAX_FETCHES = 4
        const val FULL_PUSH_MAX_PEERS = 32
        const val COMMITTER_PUSH_FANOUT = 8
        const val FORWARD_PUSH_FANOUT = 4
        const val SNAPSHOT_WRITERS = 2
    }
}
