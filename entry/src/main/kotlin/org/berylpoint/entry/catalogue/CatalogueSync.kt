package org.berylpoint.entry.catalogue

import arrow.core.Either
import arrow.core.left
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentMapOf
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
import org.berylpoint.entry.member.HeartbeatPart
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
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.ExperimentalTime

private val log = KotlinLogging.logger {}

/**
 * Commits catalogue updates and brings every accepted version into force on this instance.
 *
 * New versions arrive in three ways: a push of the instance that committed them, a fetch from a peer whose heartbeat
 * carries a higher version, and the polls of two instances per failure domain. A version is never replaced by a lower
 * one. [current] stays null until the start is over: the highest of the table's version and those of all peers that
 * answer. During an outage of the table the start waits until the members are known, so that an instance that
 * restarts does not come back with less than its peers know.
 *
 * Calls from other threads are passed on to the node's dispatcher.
 */
public class CatalogueSync(
    private val context: NodeContext,
    private val membership: StateFlow<MembershipView>,
    table: TableService,
) : CatalogueSource,
    HeartbeatPart,
    StateDump {
    private class Proof(val version: Long, val at: ComparableTimeMark)

    private val self = context.self
    private val store = CatalogueStore(table, context.objects, context.time)
    private val inForce = MutableStateFlow<Catalogue?>(null)
    private val confirmed = MutableStateFlow<PersistentMap<InstanceId, Long>>(persistentMapOf())
    private val window = UpdateWindow()
    private val fetching = mutableSetOf<InstanceId>()

    /** The highest catalogue known; published as [current] once the start is over. */
    private var known: Catalogue? = null
    private var isStarted = false
    private var proof: Proof? = null
    private var commits = 0L

    override val name: String = "catalogue"

    override val current: StateFlow<Catalogue?> = inForce.asStateFlow()

    private val knownVersion: Long get() = known?.version ?: NONE

    /** Starts to read, poll and fetch. */
    public fun start() {
        context.scope.launch {
            bootstrap()
            poll()
        }
    }

    /** Answers the messages of the catalogue; null for other messages. */
    public fun handle(from: InstanceId, message: PeerMessage): PeerMessage? = when (message) {
        is FetchCatalogue -> answerFetch(message)
        is CatalogueData -> acceptPush(from, message)
        else -> null
    }

    override fun fill(heartbeat: Heartbeat): Heartbeat {
        val age = proof?.takeIf { it.version == knownVersion }?.at?.elapsedNow()?.inWholeMilliseconds
        return heartbeat.copy(catalogueVersion = inForce.value?.version ?: 0, catalogueProofAgeMillis = age ?: NONE)
    }

    override fun receive(heartbeat: Heartbeat, ageMillis: Long) {
        val sender = heartbeat.sender
        confirm(sender.id, heartbeat.catalogueVersion)
        when {
            heartbeat.catalogueVersion > knownVersion -> fetchInBackground(sender)

            heartbeat.catalogueVersion == knownVersion && heartbeat.catalogueProofAgeMillis >= 0 -> {
                val age = (heartbeat.catalogueProofAgeMillis + ageMillis).milliseconds
                prove(knownVersion, context.time.markNow() - age)
            }
        }
    }

    /** Versions that the known instances have confirmed, this one included; 0 for one not heard from. */
    public fun confirmations(): Map<InstanceId, Long> {
        val versions = confirmed.value
        return membership.value.members.mapValues { (id, _) ->
            if (id == self.id) inForce.value?.version ?: 0 else versions[id] ?: 0
        }
    }

    /** Asks the known instances that have not confirmed the version in force, and gives all [confirmations]. */
    public suspend fun refreshConfirmations(): Map<InstanceId, Long> = onNode {
        val catalogue = inForce.value
        if (catalogue != null) {
            val late = confirmations().filterValues { it < catalogue.version }.keys
            push(catalogue, membership.value.members.values.map { it.instance }.filter { it.id in late })
        }
        confirmations()
    }

    /** The faults of [update] against the catalogue in force; none if there is no catalogue yet. */
    public fun findFaults(update: CatalogueUpdate): List<CatalogueFault> =
        inForce.value?.let { faultsOf(it, update) }.orEmpty()

    override suspend fun submit(update: CatalogueUpdate): Either<Problem, Long> = onNode {
        if (update.expectedVersion > knownVersion) load()
        val catalogue = known
        when {
            catalogue == null || !isStarted -> Problem(ErrorKind.NotReady, "no catalogue is known yet").left()

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
        val result = store.commit(update, "${self.id}/${commits++}")
        result.fold(
            ifLeft = { context.scope.launch { load() } },
            ifRight = { version ->
                log.info { "catalogue: version $version is accepted" }
                install(catalogue.replay(update), listOf(update))
                prove(version, start)
                // An operator need not wait for peers that don't answer.
                context.scope.launch { spread(catalogue.replay(update)) }
            },
        )
        return result
    }

    @OptIn(ExperimentalTime::class)
    private fun faultsOf(catalogue: Catalogue, update: CatalogueUpdate): List<CatalogueFault> {
        val domains = membership.value.members.values.map { it.instance.failureDomain }.toSet()
        val now = context.wallClock.now().toEpochMilliseconds()
        val late = update.changes.filterIsInstance<CatalogueChange.MoveTraffic>()
            .filter { it.completeByEpochMillis in 1..now }
            .map {
                val time = "${it.completeByEpochMillis}"
                CatalogueFault("move of ${it.requestClass}", "completeByEpochMillis", time, "a time after now, $now")
            }
        return catalogue.apply(update, domains).fold({ it }, { emptyList() }) + late
    }

    /** Makes [next] the catalogue in force if it is higher; [updates] lead to it. */
    private fun install(next: Catalogue, updates: List<CatalogueUpdate>) {
        val previous = knownVersion
        if (next.version <= previous) return
        if (updates.isNotEmpty()) window.add(updates.filter { it.expectedVersion >= previous })
        snapshotIfDue(next, updates)
        known = next
        publish()
    }

    private fun publish() {
        val next = known ?: return
        if (!isStarted || next.version <= (inForce.value?.version ?: NONE)) return
        inForce.value = next
        log.info { "catalogue: version ${next.version} is in force" }
    }

    /** One instance writes each snapshot, and the next of the order if that one never reaches the version itself. */
    private fun snapshotIfDue(next: Catalogue, updates: List<CatalogueUpdate>) {
        val isDue = next.version % CatalogueRows.SNAPSHOT_INTERVAL_VERSIONS == 0L && updates.isNotEmpty()
        val key = "snapshot/${next.version}"
        val writers = Rendezvous.ranked(key, membership.value.alive) { it.id.value }.take(SNAPSHOT_WRITERS)
        if (isDue && writers.any { it.id == self.id }) context.scope.launch { store.writeSnapshot(next) }
    }

    private fun prove(version: Long, at: ComparableTimeMark) {
        val last = proof
        val isOlder = last != null && (last.version > version || (last.version == version && last.at >= at))
        if (!isOlder) proof = Proof(version, at)
    }

    private fun confirm(id: InstanceId, version: Long) {
        val members = membership.value.members
        val versions = confirmed.value
        if (version <= (versions[id] ?: 0)) return
        confirmed.value = versions.mutate { map ->
            map[id] = version
            if (map.size > members.size + FORGOTTEN_MARGIN) map.keys.retainAll(members.keys + id)
        }
    }

    // Start

    private suspend fun bootstrap() {
        val start = context.time.markNow()
        var loading: Deferred<Boolean>? = null
        while (context.scope.isActive) {
            // A reading that takes long goes on, because a large catalogue may come from a slow store only.
            val reading = loading?.takeUnless { it.isCompleted } ?: context.scope.async { load() }
            loading = reading
            val peers = context.scope.async { askPeers() }
            val reachesTable = withTimeoutOrNull(START_TABLE_TIME) { reading.await() } ?: false
            peers.await()
            if (known != null && (reachesTable || start.elapsedNow() >= START_WITHOUT_TABLE)) break
            delay(START_RETRY)
        }
        isStarted = true
        publish()
    }

    private suspend fun askPeers() = coroutineScope {
        val members = membership.value.members.values.map { it.instance.peerAddress }
        val addresses = (members.shuffled(context.random).take(START_PEERS) + context.seeds).toSet() - self.peerAddress
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

    /** Reads what is new in the table; false if the table did not answer. */
    private suspend fun load(): Boolean {
        val start = context.time.markNow()
        val result = try {
            store.load(known)
        } catch (e: CancellationException) {
            throw e
        } catch (e: RuntimeException) {
            log.error(e) { "catalogue: the rows in the table can't be read" }
            return false
        }
        result.onRight {
            install(it.catalogue, it.updates)
            if (it.catalogue.version == knownVersion) prove(knownVersion, start)
        }
        return result.isRight()
    }

    // Peers

    private suspend fun spread(catalogue: Catalogue) {
        val peers = membership.value.alive.filter { it.id != self.id }
        push(catalogue, if (peers.size <= PUSH_ALL_UP_TO) peers else peers.shuffled(context.random).take(PUSH_FIRST))
    }

    private suspend fun push(catalogue: Catalogue, targets: List<Instance>) = coroutineScope {
        val recent = window.between(catalogue.version - 1, catalogue.version)
        val message = if (recent != null) CatalogueData(null, recent) else CatalogueData(catalogue)
        targets.forEach { target ->
            launch {
                context.peers.call(target.peerAddress, message, PEER_TIMEOUT).onRight {
                    if (it is PeerMessage.Ack) confirm(target.id, catalogue.version)
                }
            }
        }
    }

    private fun acceptPush(from: InstanceId, data: CatalogueData): PeerMessage {
        val before = knownVersion
        val offered = data.catalogue?.version ?: data.updates.lastOrNull()?.let { it.expectedVersion + 1 } ?: NONE
        confirm(from, offered)
        take(data)
        if (knownVersion > before) forward()
        if (inForce.value.let { it != null && it.version >= offered }) return PeerMessage.Ack
        membership.value.members[from]?.let { fetchInBackground(it.instance) }
        return PeerMessage.Refusal("the catalogue has version $knownVersion")
    }

    /** At large sizes the committing instance pushes to a few, and each of them to a few more. */
    private fun forward() {
        val peers = membership.value.alive.filter { it.id != self.id }
        val catalogue = known
        if (peers.size > PUSH_ALL_UP_TO && catalogue != null) {
            context.scope.launch { push(catalogue, peers.shuffled(context.random).take(PUSH_ON)) }
        }
    }

    private fun answerFetch(message: FetchCatalogue): CatalogueData {
        val catalogue = inForce.value
        if (catalogue == null || catalogue.version <= message.known) return CatalogueData(null)
        val updates = window.between(message.known, catalogue.version) ?: return CatalogueData(catalogue)
        return CatalogueData(null, updates)
    }

    private fun fetchInBackground(peer: Instance) {
        if (fetching.size >= MAX_FETCHES || !fetching.add(peer.id)) return
        context.scope.launch {
            try {
                fetch(peer.peerAddress)
            } finally {
                fetching -= peer.id
            }
        }
    }

    private suspend fun fetch(address: String) {
        context.peers.call(address, FetchCatalogue(knownVersion), PEER_TIMEOUT).onRight { answer ->
            if (answer is CatalogueData) take(answer)
        }
    }

    private fun take(data: CatalogueData) {
        data.catalogue?.let { install(it, emptyList()) }
        val base = known ?: return
        val next = data.updates.filter { it.expectedVersion >= base.version }
        val follows = next.withIndex().all { (index, update) -> update.expectedVersion == base.version + index }
        if (follows && next.isNotEmpty()) install(next.fold(base, Catalogue::replay), next)
    }

    /** Runs [block] on the node's dispatcher, to its end also when the caller goes away. */
    private suspend fun <T> onNode(block: suspend () -> T): T = context.scope.async { block() }.await()

    override fun dump(): JsonElement = buildJsonObject {
        put("version", inForce.value?.version)
        put("entries", inForce.value?.entries?.size)
        put("started", isStarted)
        put("proofAgeMillis", proof?.at?.elapsedNow()?.inWholeMilliseconds)
        putJsonObject("confirmed") { confirmations().forEach { (id, version) -> put(id.value, version) } }
    }

    private companion object {
        /** Below every version, 0 included, which is the empty catalogue of a new site. */
        const val NONE = -1L
        const val POLLERS_PER_DOMAIN = 2
        val POLL_INTERVAL: Duration = 1.seconds

        /** Keeps the pollers of a site from reading in step. */
        const val POLL_JITTER = 0.1
        val PEER_TIMEOUT: Duration = 1.seconds

        /** A stalled table delays the start by this much before the peers alone decide. */
        val START_TABLE_TIME: Duration = 2.seconds

        /** Three heartbeat intervals: by then the members and their versions are known from the seeds. */
        val START_WITHOUT_TABLE: Duration = 1500.milliseconds
        val START_RETRY: Duration = 250.milliseconds
        const val START_PEERS = 16

        /** A silent peer blocks a fetch for [PEER_TIMEOUT]; others go on beside it. */
        const val MAX_FETCHES = 4
        const val PUSH_ALL_UP_TO = 32
        const val PUSH_FIRST = 8
        const val PUSH_ON = 4
        const val SNAPSHOT_WRITERS = 2
        const val FORGOTTEN_MARGIN = 100
    }
}
