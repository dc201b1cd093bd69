package org.berylpoint.entry.stream

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.berylpoint.entry.backend.BackendEvent
import org.berylpoint.entry.backend.ListedServer
import org.berylpoint.entry.backend.ProbeFailure
import org.berylpoint.entry.pipeline.AttemptEnd
import org.berylpoint.entry.pipeline.Exchange
import org.berylpoint.entry.pipeline.Placement
import org.berylpoint.entry.pipeline.Placer
import org.berylpoint.entry.pipeline.callOf
import org.berylpoint.entry.pipeline.isRetryable
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.Problem
import org.berylpoint.model.ResponseEvent
import org.berylpoint.model.RunState
import org.berylpoint.peer.AttemptOutcome
import org.berylpoint.policy.migration.StreamMigration
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Generates one answer over as many attempts as it takes.
 *
 * One attempt is current at a time. A later attempt sends the text so far as the start of the answer, and nothing of an
 * earlier attempt is taken from then on, so the text has neither gaps nor repeats.
 */
internal class StreamSession(
    private val exchange: Exchange,
    private val parts: StreamParts,
    private val scope: CoroutineScope,
    private val ticks: ReceiveChannel<Unit>,
) {
    private val request = exchange.request
    private val chat = checkNotNull(exchange.chat) { "not a chat request" }
    private val text = AnswerText(exchange)
    private val tries = parts.retries.newRequest()
    private val lengths = parts.lengths(request.requestClass)
    private val avoid = HashSet<BackendServerId>()
    private var silences = 0
    private var current: StreamAttempt? = null

    suspend fun run() {
        try {
            var wish: Placer.Wish? = Placer.Wish()
            while (wish != null) wish = attempt(wish)
        } finally {
            withContext(NonCancellable) { current?.end(parts.dispatcher, exchange, AttemptEnd.Abandoned) }
        }
    }

    /** Makes one attempt; where the next one is wanted, or null when the caller has the whole answer. */
    private suspend fun attempt(wish: Placer.Wish): Placer.Wish? =
        if (isAtLimit()) finish("length") else start(wish)?.let { relay() }

    // All tokens that the caller allows were generated, and only the chunk that says so was lost.
    private fun isAtLimit() = chat.maxTokens?.let { text.tokens >= it } ?: false

    /** Starts the next attempt; null when it can't, which the caller was told. */
    private suspend fun start(wish: Placer.Wish): StreamAttempt? {
        while (true) {
            val id = exchange.nextAttempt()
            parts.judge.permitAttempt(request.fingerprint, id).onLeft {
                exchange.fail(it)
                return null
            }
            val placement = parts.placer.place(exchange, wish).getOrElse {
                exchange.fail(it)
                return null
            }
            open(id, placement)?.let { return it }
        }
    }

    /** Sends an attempt, which becomes the current one; null when the place has expired. */
    private fun open(id: String, placement: Placement): StreamAttempt? {
        if (!placement.grant.isUsable()) {
            placement.grant.release(AttemptOutcome.NOT_SENT)
            return null
        }
        val call = callOf(exchange, id, chat.forEngine(text.text, text.tokens), exchange.remaining, stream = true)
        val events = parts.dispatcher.send(exchange, placement, call).buffer(BUFFERED_EVENTS).produceIn(scope)
        return StreamAttempt(id, placement, events, parts.time.markNow()).also { current = it }
    }

    /** Passes chunks on until the answer is complete, for which it returns null, or another attempt is needed. */
    private suspend fun relay(): Placer.Wish? {
        var step: Step = Step.Continue
        while (step == Step.Continue) {
            val attempt = checkNotNull(current)
            val event = nextEvent(attempt)
            step = if (event == null) onTick(attempt) else onEvent(attempt, event)
        }
        return (step as? Step.Again)?.wish
    }

    /** The next event, or null at a tick without one. */
    private suspend fun nextEvent(attempt: StreamAttempt): BackendEvent? = select {
        // The tick comes first, so that a fast stream can't hide that its server leaves.
        ticks.onReceive { attempt.events.tryReceive().getOrNull() }
        attempt.events.onReceiveCatching {
            it.getOrNull() ?: BackendEvent.Broken(sent = true, "the answer ended early")
        }
    }

    private suspend fun onEvent(attempt: StreamAttempt, event: BackendEvent): Step {
        attempt.lastByte = parts.time.markNow()
        return when (event) {
            is BackendEvent.Head -> Step.Continue.also { attempt.head = event }
            is BackendEvent.Data -> onData(attempt, event.text)
            BackendEvent.KeepAlive -> Step.Continue
            BackendEvent.End -> onEnd(attempt)
            is BackendEvent.Broken -> onBroken(attempt, event)
        }
    }

    private suspend fun onData(attempt: StreamAttempt, data: String): Step {
        if (attempt.isPlain) {
            attempt.plainBody.append(data)
            return Step.Continue
        }
        if (data == AnswerText.DONE) {
            attempt.isDone = true
        } else {
            val chunk = ChatChunk.parse(data)
            val error = if (chunk == null) "a chunk that is no JSON object" else chunk.error
            if (chunk == null || error != null) return failed(attempt, AttemptEnd.Failed("error in the stream: $error"))
            attempt.chunkCame(parts.time.markNow())
            attempt.order.accept(chunk).forEach { text.add(it) }
            attempt.gapSince = if (attempt.order.hasGap) attempt.gapSince ?: parts.time.markNow() else null
        }
        return if (attempt.isDone && text.finishReason != null) complete(attempt) else Step.Continue
    }

    private suspend fun onEnd(attempt: StreamAttempt): Step = when {
        attempt.isPlain -> plainAnswer(attempt)
        text.finishReason != null || (attempt.isDone && !attempt.order.hasGap) -> complete(attempt)
        else -> failed(attempt, AttemptEnd.Broken("the stream ended before the answer"))
    }

    private suspend fun onBroken(attempt: StreamAttempt, event: BackendEvent.Broken): Step = when {
        text.finishReason != null -> complete(attempt)
        event.sent -> failed(attempt, AttemptEnd.Broken(event.detail))
        else -> failed(attempt, AttemptEnd.NotSent(event.detail))
    }

    private suspend fun complete(attempt: StreamAttempt): Step {
        val slow = attempt.timeToFirst?.let { it > exchange.limits.firstByteMillis.milliseconds * 2 } ?: false
        attempt.end(parts.dispatcher, exchange, if (slow) AttemptEnd.Slow else AttemptEnd.Good)
        parts.waitingRoom.ran(request.requestClass, attempt.age)
        lengths.add(text.tokens)
        finish("stop")
        return Step.Answered
    }

    private suspend fun finish(reason: String): Placer.Wish? {
        text.finish(reason)
        return null
    }

    /** An answer that is no stream, such as an error: passed on, unless another server may do better. */
    private suspend fun plainAnswer(attempt: StreamAttempt): Step {
        val head = checkNotNull(attempt.head)
        val isUsable = !isRetryable(head.status) && text.text.isEmpty()
        val end = if (isUsable) AttemptEnd.Good else AttemptEnd.Failed("status ${head.status}")
        attempt.end(parts.dispatcher, exchange, end)
        avoid += attempt.placement.server.id
        if (!isUsable && tries.mayRetry(wasSent = true)) return again()
        if (text.isGiven) {
            exchange.fail(ErrorKind.BackendFailed, "status ${head.status} in place of the rest of the answer")
        } else {
            exchange.emit(ResponseEvent.Head(head.status, head.contentType))
            if (attempt.plainBody.isNotEmpty()) exchange.emit(ResponseEvent.Data(attempt.plainBody.toString()))
            exchange.emit(ResponseEvent.End)
        }
        return Step.Answered
    }

    private suspend fun failed(attempt: StreamAttempt, end: AttemptEnd): Step {
        attempt.end(parts.dispatcher, exchange, end)
        avoid += attempt.placement.server.id
        logger.info { "stream: attempt ${attempt.id} at ${attempt.placement.server.id} failed: $end" }
        return if (canResume() && tries.mayRetry(wasSent = end !is AttemptEnd.NotSent)) {
            again()
        } else {
            val kind = if (exchange.reached == RunState.NOT_RUN) ErrorKind.NoBackend else ErrorKind.BackendFailed
            exchange.fail(Problem(kind, "attempt ${attempt.id} failed: $end"))
            Step.Answered
        }
    }

    private fun canResume(): Boolean {
        if (!text.isResumable && !text.isGiven) text.restart()
        return text.isResumable
    }

    private fun again(prefer: BackendServerId? = null) = Step.Again(
        Placer.Wish(
            avoid.toSet(),
            prefer,
            current?.placement?.listed?.entry?.version,
            isResume = text.text.isNotEmpty(),
        ),
    )

    private suspend fun onTick(attempt: StreamAttempt): Step = when {
        text.finishReason != null -> complete(attempt)

        attempt.lastByte.elapsedNow() >= SILENCE -> onSilence(attempt)

        attempt.order.isOverfull || attempt.gapSince?.let { it.elapsedNow() >= SILENCE } == true ->
            failed(attempt, AttemptEnd.Failed("a chunk is missing"))

        else -> onLeave(attempt)
    }

    /**
     * Nothing came for [SILENCE] although engines send a comment every second: either the connection is dead, which is
     * nobody's fault, or the server is.
     */
    private suspend fun onSilence(attempt: StreamAttempt): Step {
        val server = attempt.placement.server
        val probe = parts.dispatcher.probe(server)
        attempt.events.tryReceive().getOrNull()?.let { return onEvent(attempt, it) }
        val failure = probe.leftOrNull()
        return when {
            failure == ProbeFailure.Refused -> failed(attempt, AttemptEnd.Broken("silent, and refuses connections"))

            failure != null -> failed(attempt, AttemptEnd.Failed("silent, and a new connection gives $failure"))

            silences++ >= MAX_SILENCES || !canResume() -> failed(attempt, AttemptEnd.Failed("silent again and again"))

            else -> {
                logger.info { "stream: the connection of attempt ${attempt.id} to ${server.id} is silent" }
                attempt.end(parts.dispatcher, exchange, AttemptEnd.Silent(streamLeft(attempt)))
                again(prefer = server.id)
            }
        }
    }

    /** Moves the stream when its server leaves before it ends; stays, and tries again at the next tick, if it can't. */
    private suspend fun onLeave(attempt: StreamAttempt): Step {
        val notice = noticeLeft(attempt) ?: return Step.Continue
        if (StreamMigration.canFinishInPlace(streamLeft(attempt), notice) || !canResume()) return Step.Continue
        val version = attempt.placement.listed.entry.version
        val wish = Placer.Wish(setOf(attempt.placement.server.id), version = version, isResume = true)
        val target = parts.placer.tryPlace(exchange, wish)
        if (target == null) return if (notice <= LAST_MOMENT) leaveWithoutTarget(attempt) else Step.Continue
        val id = exchange.nextAttempt()
        val isPermitted = target.server.id != attempt.placement.server.id &&
            parts.judge.permitAttempt(request.fingerprint, id).isRight()
        if (!isPermitted) {
            target.grant.release(AttemptOutcome.NOT_SENT)
            return Step.Continue
        }
        return try {
            transferKv(attempt, target, notice)
            move(attempt, id, target)
        } finally {
            // Does nothing once the move has taken the place over.
            if (current === attempt) target.grant.release(AttemptOutcome.NOT_SENT)
        }
    }

    /** No place was free during the whole notice: the stream waits for one, rather than be cut by the server's end. */
    private suspend fun leaveWithoutTarget(attempt: StreamAttempt): Step {
        attempt.end(parts.dispatcher, exchange, AttemptEnd.Abandoned)
        avoid += attempt.placement.server.id
        return again()
    }

    private suspend fun move(attempt: StreamAttempt, id: String, target: Placement): Step {
        // What has arrived meanwhile is part of the text to go on from.
        var step: Step = Step.Continue
        while (step == Step.Continue) {
            val event = attempt.events.tryReceive().getOrNull() ?: break
            step = onEvent(attempt, event)
        }
        if (step != Step.Continue || text.finishReason != null || isAtLimit()) return step
        if (open(id, target) == null) return Step.Continue
        logger.info { "stream: ${request.id} moves to ${target.server.id} after ${text.tokens} tokens" }
        attempt.end(parts.dispatcher, exchange, AttemptEnd.Abandoned)
        return Step.Continue
    }

    private suspend fun transferKv(attempt: StreamAttempt, target: Placement, notice: Duration) {
        val from = attempt.placement.listed
        val isOffered = from.entry.kvTransfer && target.listed.entry.kvTransfer
        val recomputed = text.tokens + chat.promptChars / ChatBody.CHARS_PER_TOKEN
        if (StreamMigration.chooseMethod(isOffered, recomputed, notice) != StreamMigration.Method.KV_TRANSFER) return
        // Without the transfer the resume still works and only computes more.
        withTimeoutOrNull(KV_TIMEOUT) {
            parts.client.exportKv(from.server, request.id)?.let { parts.client.importKv(target.server, it) }
        }
    }

    /** Time until the server ends; null while it is in service. */
    private fun noticeLeft(attempt: StreamAttempt): Duration? {
        val state = parts.directory.find(attempt.placement.server.id)?.state
        val leaving = state as? ListedServer.State.Leaving
        val isOut = parts.catalogue()?.isInService(attempt.placement.server.failureDomain) == false
        if (leaving == null && !isOut) {
            attempt.leaveEnd = null
            return null
        }
        val known = attempt.leaveEnd
        val stated = leaving?.remainingMillis?.let { parts.time.markNow() + it.milliseconds }
        val end = listOfNotNull(known, stated).minOrNull() ?: (parts.time.markNow() + StreamMigration.DEFAULT_NOTICE)
        attempt.leaveEnd = end
        return -end.elapsedNow()
    }

    private fun streamLeft(attempt: StreamAttempt): Duration {
        val prefill = if (attempt.firstChunk == null) exchange.limits.firstByteMillis.milliseconds else Duration.ZERO
        return prefill +
            attempt.interval(DEFAULT_INTERVAL) * lengths.estimateRemainingTokens(text.tokens, chat.maxTokens)
    }

    private sealed interface Step {
        data object Continue : Step

        data object Answered : Step

        data class Again(val wish: Placer.Wish) : Step
    }

    private companion object {
        /** Three comment lines missed. */
        val SILENCE = 3.seconds

        /** Two ticks before the end of a server's notice. */
        val LAST_MOMENT = Ticks.PERIOD * 2

        /** Silent connections of one request that count as nobody's fault. */
        const val MAX_SILENCES = 3

        /** Events that may wait while the caller reads slowly; then the engine's connection is held back. */
        const val BUFFERED_EVENTS = 64

        /** Assumed while a stream has had no two chunks: the target of the design between tokens. */
        val DEFAULT_INTERVAL = 77.milliseconds

        /** Half of the time in which a granted place must be used. */
        val KV_TIMEOUT = 1.seconds
    }
}
