package org.berylpoint.entry.judgement

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.berylpoint.entry.member.MembershipView
import org.berylpoint.entry.node.NodeContext
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.Fingerprint
import org.berylpoint.model.Problem
import org.berylpoint.peer.CrashMark
import org.berylpoint.peer.PeerMessage
import org.berylpoint.peer.PeerMessage.CrashNotice
import org.berylpoint.platform.PlatformError
import org.berylpoint.platform.RowKey
import org.berylpoint.platform.RowWrite
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/**
 * Limits the backend server crashes that one request causes to two across all entry instances that can reach each
 * other.
 *
 * After its first crash, attempts of a request run one at a time: each is announced to the peers, and a peer that runs
 * an attempt of the same request refuses. Of two concurrent announcements the lower attempt name wins. A crash counts
 * once against every request that was running on the server; to identify the cause, at most one of these requests runs
 * on any other server at a time, unless the wait for that exceeds [EXCLUSIVE_SERVER_TIMEOUT].
 */
internal class CrashLimiter(private val context: NodeContext, private val members: StateFlow<MembershipView>) {
    private class Attempt(
        val name: String,
        val startedAt: ComparableTimeMark,
        /** The server on which no other request with a known crash may run meanwhile; null if any may. */
        val exclusiveServer: BackendServerId? = null,
        /** Whether the peers have not agreed yet. */
        var isPending: Boolean = false,
    )

    private val registry = CrashRegistry()
    private val running = mutableMapOf<Fingerprint, MutableList<Attempt>>()

    fun start() {
        context.scope.launch {
            while (true) {
                readQuarantineRows()
                running.values.forEach { attempts ->
                    attempts.removeAll { it.startedAt.elapsedNow() > MAX_ATTEMPT_TIME }
                }
                running.values.removeAll { it.isEmpty() }
                delay(READ_INTERVAL)
            }
        }
    }

    fun recentMarks(): List<CrashMark> = registry.recentMarks()

    fun merge(received: List<CrashMark>) {
        received.forEach { registry.add(it) }
    }

    /**
     * Waits for up to [AGREEMENT_TIMEOUT] until the attempt may start, and registers it as running; fails with
     * [ErrorKind.Quarantined] or, at the time-out, with [ErrorKind.Overloaded]. [server] is null if it is not chosen
     * yet.
     */
    suspend fun permitAttempt(
        fingerprint: Fingerprint,
        attempt: String,
        server: BackendServerId?,
    ): Either<Problem, Unit> {
        if (registry.isQuarantined(fingerprint)) return quarantineProblem(fingerprint)
        if (!registry.hasKnownCrash(fingerprint)) {
            runningAttempts(fingerprint) += Attempt(attempt, context.time.markNow())
            return Unit.right()
        }
        val start = context.time.markNow()
        while (start.elapsedNow() < AGREEMENT_TIMEOUT) {
            if (registry.isQuarantined(fingerprint)) return quarantineProblem(fingerprint)
            val exclusiveServer = server.takeIf { start.elapsedNow() < EXCLUSIVE_SERVER_TIMEOUT }
            if (seekAgreement(fingerprint, attempt, exclusiveServer)) return Unit.right()
            delay(MIN_RETRY_DELAY + context.random.nextInt(RETRY_JITTER_MILLIS).milliseconds)
        }
        return Problem(ErrorKind.Overloaded, "the request crashed a server; a conflicting attempt still runs").left()
    }

    /** Announces the attempt to all peers once; returns whether it may start. */
    private suspend fun seekAgreement(fingerprint: Fingerprint, name: String, server: BackendServerId?): Boolean {
        if (conflictingAttempts(fingerprint, server).isNotEmpty()) return false
        val own = Attempt(name, context.time.markNow(), server, isPending = true)
        runningAttempts(fingerprint) += own
        var granted = false
        try {
            val refused = isRefusedByPeer(CrashNotice(fingerprint, name, crashed = false, server))
            if (hasQuarantineRow(fingerprint)) registry.markQuarantined(fingerprint)
            // A peer's notice with a lower attempt name removes a pending attempt from the list.
            granted = !refused && own in running[fingerprint].orEmpty() && !registry.isQuarantined(fingerprint)
        } finally {
            if (granted) own.isPending = false else remove(fingerprint, name)
        }
        return granted
    }

    /** Sends [notice] to all peers that are alive; peers that do not answer count as agreeing. */
    private suspend fun isRefusedByPeer(notice: CrashNotice): Boolean = coroutineScope {
        val peers = members.value.alive.filter { it.id != context.self.id }
        peers.map { peer -> async { context.peers.call(peer.peerAddress, notice, NOTICE_TIMEOUT) } }.awaitAll()
            .any { it.getOrNull() is PeerMessage.Refusal }
    }

    fun recordCrash(fingerprint: Fingerprint, attempt: String) {
        remove(fingerprint, attempt)
        if (!registry.add(CrashMark(fingerprint, attempt))) return
        log.warn { "judge: attempt $attempt of request $fingerprint crashed a backend server" }
        val notice = CrashNotice(fingerprint, attempt, crashed = true)
        members.value.alive.filter { it.id != context.self.id }.forEach { peer ->
            context.scope.launch { context.peers.call(peer.peerAddress, notice, NOTICE_TIMEOUT) }
        }
        writeRowIfQuarantined(fingerprint)
    }

    fun releaseAttempt(fingerprint: Fingerprint, attempt: String) = remove(fingerprint, attempt)

    /** Answers a peer's notice of a crash, or of an attempt that it wants to start. */
    fun handle(notice: CrashNotice): PeerMessage {
        val fingerprint = notice.fingerprint
        if (notice.crashed) {
            // Only instances that already knew of a crash of this request write the row.
            val hadCrash = registry.crashedAttempts(fingerprint).isNotEmpty()
            if (registry.add(CrashMark(fingerprint, notice.attempt)) && hadCrash) {
                writeRowIfQuarantined(fingerprint)
            }
            return PeerMessage.Ack
        }
        if (registry.isQuarantined(fingerprint)) return PeerMessage.Refusal("quarantined")
        registry.markSuspected(fingerprint)
        val others = conflictingAttempts(fingerprint, notice.server).filter { it.name != notice.attempt }
        if (others.any { !it.isPending || it.name < notice.attempt }) return PeerMessage.Refusal("an attempt runs here")
        others.forEach(::withdraw)
        return PeerMessage.Ack
    }

    /** Local attempts of the same request, and those of other requests that run exclusively on [server]. */
    private fun conflictingAttempts(fingerprint: Fingerprint, server: BackendServerId?): List<Attempt> =
        running[fingerprint].orEmpty() +
            running.filterKeys { it != fingerprint }.values.flatten()
                .filter { server != null && it.exclusiveServer == server }

    private fun withdraw(attempt: Attempt) {
        running.values.forEach { it -= attempt }
        running.values.removeAll { it.isEmpty() }
    }

    private fun runningAttempts(fingerprint: Fingerprint) = running.getOrPut(fingerprint) { mutableListOf() }

    private fun remove(fingerprint: Fingerprint, name: String) {
        val attempts = running[fingerprint] ?: return
        attempts.removeAll { it.name == name }
        if (attempts.isEmpty()) running.remove(fingerprint)
    }

    private fun quarantineProblem(fingerprint: Fingerprint): Either<Problem, Unit> {
        val crashes = registry.crashedAttempts(fingerprint).size.coerceAtLeast(CrashRegistry.MAX_CRASHES)
        return Problem(ErrorKind.Quarantined, "the request crashed $crashes backend servers").left()
    }

    private fun writeRowIfQuarantined(fingerprint: Fingerprint) {
        if (!registry.isQuarantined(fingerprint)) return
        log.warn { "judge: request $fingerprint is quarantined after crashing backend servers" }
        val value = registry.crashedAttempts(fingerprint).joinToString(",")
        context.scope.launch {
            val write = RowWrite.Put(RowKey(PARTITION, fingerprint.value), value, expected = 0)
            var retryDelay = MIN_WRITE_RETRY_DELAY
            while (true) {
                val error = context.table.transact(listOf(write)).leftOrNull()
                if (error == null || error is PlatformError.ConditionFailed || error is PlatformError.Invalid) break
                delay(retryDelay)
                retryDelay = (retryDelay * 2).coerceAtMost(READ_INTERVAL)
            }
        }
    }

    private suspend fun hasQuarantineRow(fingerprint: Fingerprint): Boolean =
        withTimeoutOrNull(NOTICE_TIMEOUT) { context.table.get(RowKey(PARTITION, fingerprint.value)).getOrNull() } !=
            null

    private suspend fun readQuarantineRows() {
        var after = ""
        while (true) {
            val rows = context.table.query(PARTITION, after).getOrNull().orEmpty()
            rows.forEach { registry.markQuarantined(Fingerprint(it.key.sort)) }
            after = rows.lastOrNull()?.key?.sort ?: break
        }
    }

    private companion object {
        const val PARTITION = "quarantine"
        val NOTICE_TIMEOUT = 1.seconds
        val AGREEMENT_TIMEOUT = 10.seconds

        // A reservation on a backend server expires if it is not used within 2 s.
        val EXCLUSIVE_SERVER_TIMEOUT = 1.seconds
        val MIN_RETRY_DELAY = 50.milliseconds
        const val RETRY_JITTER_MILLIS = 150
        val MIN_WRITE_RETRY_DELAY = 500.milliseconds
        val READ_INTERVAL = 30.seconds

        // Longest run of one request; an attempt whose end was not reported is removed after this time.
        val MAX_ATTEMPT_TIME = 2.minutes
    }
}
