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
 * Bounds the crashes that one request causes to two over all entry instances that can talk to each other.
 *
 * After its first crash, attempts of a request run one at a time: each is announced to the peers, and one that runs
 * an attempt of the same request refuses. Of two announcements at the same time the lower attempt name wins. All
 * requests on a crashed server count as crashed once; to tell them apart, at most one of them runs on another server
 * at a time, unless that takes too long.
 */
internal class CrashLimiter(private val context: NodeContext, private val members: StateFlow<MembershipView>) {
    private class Attempt(
        val name: String,
        val since: ComparableTimeMark,
        /** The server, when it is to run no other request that has crashed one. */
        val server: BackendServerId? = null,
        var isPending: Boolean = false,
    )

    private val marks = CrashRegistry()
    private val running = mutableMapOf<Fingerprint, MutableList<Attempt>>()

    fun start() {
        context.scope.launch {
            while (true) {
                readRows()
                running.values.forEach { its -> its.removeAll { it.since.elapsedNow() > ATTEMPT_BOUND } }
                running.values.removeAll { it.isEmpty() }
                delay(READ_INTERVAL)
            }
        }
    }

    fun recentMarks(): List<CrashMark> = marks.recentMarks()

    fun merge(received: List<CrashMark>) {
        received.forEach { marks.add(it) }
    }

    suspend fun permitAttempt(fingerprint: Fingerprint, attempt: String, server: BackendServerId?): Either<Problem, Unit> {
        if (marks.isQuarantined(fingerprint)) return quarantined(fingerprint)
        if (!marks.hasKnownCrash(fingerprint)) {
            attemptsOf(fingerprint) += Attempt(attempt, context.time.markNow())
            return Unit.right()
        }
        val start = context.time.markNow()
        while (start.elapsedNow() < AGREEMENT_BOUND) {
            if (marks.isQuarantined(fingerprint)) return quarantined(fingerprint)
            val alone = server.takeIf { start.elapsedNow() < ALONE_BOUND }
            if (agree(fingerprint, attempt, alone)) return Unit.right()
            delay(RETRY_BASE + context.random.nextInt(RETRY_SPREAD_MILLIS).milliseconds)
        }
        return Problem(ErrorKind.Overloaded, "another attempt of this request, which crashed a server, runs").left()
    }

    /** One round of asking; true when this attempt may start. */
    private suspend fun agree(fingerprint: Fingerprint, name: String, server: BackendServerId?): Boolean {
        if (rivals(fingerprint, server).isNotEmpty()) return false
        val own = Attempt(name, context.time.markNow(), server, isPending = true)
        attemptsOf(fingerprint) += own
        var granted = false
        try {
            val refused = askPeers(CrashNotice(fingerprint, name, crashed = false, server))
            if (readRow(fingerprint)) marks.markQuarantined(fingerprint)
            // A notice of a lower attempt name takes a pending attempt off the list.
            granted = !refused && own in running[fingerprint].orEmpty() && !marks.isQuarantined(fingerprint)
        } finally {
            if (granted) own.isPending = false else remove(fingerprint, name)
        }
        return granted
    }

    private suspend fun askPeers(notice: CrashNotice): Boolean = coroutineScope {
        val peers = members.value.alive.filter { it.id != context.self.id }
        peers.map { peer -> async { context.peers.call(peer.peerAddress, notice, NOTICE_TIMEOUT) } }.awaitAll()
            .any { it.getOrNull() is PeerMessage.Refusal }
    }

    fun recordCrash(fingerprint: Fingerprint, attempt: String) {
        remove(fingerprint, attempt)
        if (!marks.add(CrashMark(fingerprint, attempt))) return
        log.warn { "judge: attempt $attempt of request $fingerprint crashed a backend server" }
        val notice = CrashNotice(fingerprint, attempt, crashed = true)
        members.value.alive.filter { it.id != context.self.id }.forEach { peer ->
            context.scope.launch { context.peers.call(peer.peerAddress, notice, NOTICE_TIMEOUT) }
        }
        writeIfDue(fingerprint)
    }

    fun releaseAttempt(fingerprint: Fingerprint, attempt: String) = remove(fingerprint, attempt)

    /** Answers a peer's notice. */
    fun handle(notice: CrashNotice): PeerMessage {
        val fingerprint = notice.fingerprint
        if (notice.crashed) {
            // Only instances that saw a crash themselves write the row, which is two at most.
            val hadOne = marks.crashedAttempts(fingerprint).isNotEmpty()
            if (marks.add(CrashMark(fingerprint, notice.attempt)) && hadOne) writeIfDue(fingerprint)
            return PeerMessage.Ack
        }
        if (marks.isQuarantined(fingerprint)) return PeerMessage.Refusal("quarantined")
        marks.markSuspected(fingerprint)
        val others = rivals(fingerprint, notice.server).filter { it.name != notice.attempt }
        if (others.any { !it.isPending || it.name < notice.attempt }) return PeerMessage.Refusal("an attempt runs here")
        others.forEach(::withdraw)
        return PeerMessage.Ack
    }

    /** Attempts of the same request, and those of other requests that are to be alone on [server]. */
    private fun rivals(fingerprint: Fingerprint, server: BackendServerId?): List<Attempt> =
        running[fingerprint].orEmpty() +
            running.filterKeys { it != fingerprint }.values.flatten().filter { server != null && it.server == server }

    private fun withdraw(attempt: Attempt) {
        running.values.forEach { it -= attempt }
        running.values.removeAll { it.isEmpty() }
    }

    private fun attemptsOf(fingerprint: Fingerprint) = running.getOrPut(fingerprint) { mutableListOf() }

    private fun remove(fingerprint: Fingerprint, name: String) {
        val its = running[fingerprint] ?: return
        its.removeAll { it.name == name }
        if (its.isEmpty()) running.remove(fingerprint)
    }

    private fun quarantined(fingerprint: Fingerprint): Either<Problem, Unit> {
        val crashes = marks.crashedAttempts(fingerprint).size.coerceAtLeast(CrashRegistry.MAX_CRASHES)
        return Problem(ErrorKind.Quarantined, "the request crashed $crashes backend servers").left()
    }

    private fun writeIfDue(fingerprint: Fingerprint) {
        if (!marks.isQuarantined(fingerprint)) return
        log.warn { "judge: request $fingerprint is quarantined" }
        val value = marks.crashedAttempts(fingerprint).joinToString(",")
        context.scope.launch {
            val write = RowWrite.Put(RowKey(PARTITION, fingerprint.value), value, expected = 0)
            var pause = WRITE_PAUSE
            while (true) {
                val error = context.table.transact(listOf(write)).leftOrNull()
                if (error == null || error is PlatformError.ConditionFailed || error is PlatformError.Invalid) break
                delay(pause)
                pause = (pause * 2).coerceAtMost(READ_INTERVAL)
            }
        }
    }

    private suspend fun readRow(fingerprint: Fingerprint): Boolean =
        withTimeoutOrNull(NOTICE_TIMEOUT) { context.table.get(RowKey(PARTITION, fingerprint.value)).getOrNull() } !=
            null

    private suspend fun readRows() {
        var after = ""
        while (true) {
            val rows = context.table.query(PARTITION, after).getOrNull().orEmpty()
            rows.forEach { marks.markQuarantined(Fingerprint(it.key.sort)) }
            after = rows.lastOrNull()?.key?.sort ?: break
        }
    }

    private companion object {
        const val PARTITION = "quarantine"
        val NOTICE_TIMEOUT = 1.seconds
        val AGREEMENT_BOUND = 10.seconds

        // A place on a backend server is lost if it is not used within 2 s.
        val ALONE_BOUND = 1.seconds
        val RETRY_BASE = 50.milliseconds
        const val RETRY_SPREAD_MILLIS = 150
        val WRITE_PAUSE = 500.milliseconds
        val READ_INTERVAL = 30.seconds

        // Longest run of one request; frees the place of an attempt whose end was not reported.
        val ATTEMPT_BOUND = 2.minutes
    }
}
