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
 * Generates one answer over as many attempts as necessary.
 *
 * Only one attempt is current at a time. The next attempt sends the text generated so far as the start of the answer,
 * and chunks of earlier attempts are ignored from then on, so the answer has neither gaps nor repetitions.
 */
internal class StreamSession(
    private val exchange: Exchange,
    private val context: StreamContext,
    private val scope: CoroutineScope,
    private val ticks: ReceiveChannel<Unit>,
) {
    private val request = exchange.request
    private val chat = checkNotNull(exchange.chat) { "not a chat request" }
    private val answer = AnswerWriter(exchange)
    private val requestRetries = context.retryBudget.startRequest()
    private val lengths = context.lengths(request.requestClass)
    private val avoidedServers = HashSet<BackendServerId>()
    private var silentConnections = 0
    private var current: StreamAttempt? = null

    suspend fun run() {
        try {
            var criteria: Placer.Criteria? = Placer.Criteria()
            while (criteria != null) criteria = runAttempt(criteria)
        } finally {
            withContext(NonCancellable) { current?.end(context.dispatcher, exchange, AttemptEnd.Abandoned) }
        }
    }

    /** Makes one attempt; returns the criteria for the next one, or null if the answer is complete or has failed. */
    private suspend fun runAttempt(criteria: Placer.Criteria): Placer.Criteria? =
        if (isTokenLimitReached()) finish("length") else start(criteria)?.let { relay() }

    // All tokens that the caller allows were generated, but the chunk with the finish reason was lost.
    private fun isTokenLimitReached() = chat.maxTokens?.let { answer.tokens >= it } ?: false

    /** Starts the next attempt; returns null if that is not possible, after sending the failure to the caller. */
    private suspend fun start(criteria: Placer.Criteria): StreamAttempt? {
        while (true) {
            val id = exchange.nextAttempt()
            context.judge.permitAttempt(request.fingerprint, id).onLeft {
                exchange.fail(it)
                return null
            }
            val placement = context.placer.place(exchange, criteria).getOrElse {
                exchange.fail(it)
                return null
            }
            open(id, placement)?.let { return it }
        }
    }

    /** Sends an attempt and makes it the current one; returns null if the grant of the place has expired. */
    private fun open(id: String, placement: Placement): StreamAttempt? {
        if (!placement.grant.isUsable()) {
            placement.grant.release(AttemptOutcome.NOT_SENT)
            return null
        }
        val body = chat.toEngineBody(answer.text, answer.tokens)
        val call = callOf(exchange, id, body, exchange.remaining, stream = true)
        val events = context.dispatcher.send(exchange, placement, call).buffer(BUFFERED_EVENTS).produceIn(scope)
        return StreamAttempt(id, placement, events, context.time.markNow()).also { current = it }
    }

    /** Relays chunks until the answer has ended, then returns null, or until another attempt is needed. */
    private suspend fun relay(): Placer.Criteria? {
        var step: Step = Step.Continue
        while (step == Step.Continue) {
            val attempt = checkNotNull(current)
            val event = nextEvent(attempt)
            step = if (event == null) onTick(attempt) else onEvent(attempt, event)
        }
        return (step as? Step.Retry)?.criteria
    }

    /** Returns the next event, or null at a tick without a waiting event. */
    private suspend fun nextEvent(attempt: StreamAttempt): BackendEvent? = select {
        // The tick is selected first, so that a fast stream can't delay the check whether its server is leaving.
        ticks.onReceive { attempt.events.tryReceive().getOrNull() }
        attempt.events.onReceiveCatching {
            it.getOrNull() ?: BackendEvent.Broken(sent = true, "the response ended before its last event")
        }
    }

    private suspend fun onEvent(attempt: StreamAttempt, event: BackendEvent): Step {
        attempt.lastEventAt = context.time.markNow()
        return when (event) {
            is BackendEvent.Head -> Step.Continue.also { attempt.head = event }
            is BackendEvent.Data -> onData(attempt, event.text)
            BackendEvent.KeepAlive -> Step.Continue
            BackendEvent.End -> onEnd(attempt)
            is BackendEvent.Broken -> onBroken(attempt, event)
        }
    }

    private suspend fun onData(attempt: StreamAttempt, data: String): Step {
        if (attempt.isNonStreaming) {
            attempt.nonStreamingBody.append(data)
            return Step.Continue
        }
        if (data == AnswerWriter.DONE) {
            attempt.isDoneReceived = true
        } else {
            val chunk = ChatChunk.parse(data)
            val error = if (chunk == null) "a chunk is not a JSON object" else chunk.error
            if (chunk == null || error != null) {
                return onFailure(attempt, AttemptEnd.Failed("error in the stream: $error"))
            }
            attempt.recordChunk(context.time.markNow())
            attempt.reorderBuffer.accept(chunk).forEach { answer.add(it) }
            attempt.gapSince = if (attempt.reorderBuffer.hasGap) attempt.gapSince ?: context.time.markNow() else null
        }
        return if (attempt.isDoneReceived && answer.finishReason != null) complete(attempt) else Step.Continue
    }

    private suspend fun onEnd(attempt: StreamAttempt): Step = when {
        attempt.isNonStreaming -> onNonStreamingAnswer(attempt)
        answer.finishReason != null || (attempt.isDoneReceived && !attempt.reorderBuffer.hasGap) -> complete(attempt)
        else -> onFailure(attempt, AttemptEnd.Broken("the stream ended before the answer was complete"))
    }

    private suspend fun onBroken(attempt: StreamAttempt, event: BackendEvent.Broken): Step = when {
        answer.finishReason != null -> complete(attempt)
        event.sent -> onFailure(attempt, AttemptEnd.Broken(event.detail))
        else -> onFailure(attempt, AttemptEnd.NotSent(event.detail))
    }

    private suspend fun complete(attempt: StreamAttempt): Step {
        val slow = attempt.timeToFirstChunk?.let { it > exchange.limits.firstByteMillis.milliseconds * 2 } ?: false
        attempt.end(context.dispatcher, exchange, if (slow) AttemptEnd.Slow else AttemptEnd.Good)
        context.waitQueues.recordRunTime(request.requestClass, attempt.age)
        lengths.add(answer.tokens)
        finish("stop")
        return Step.Answered
    }

    private suspend fun finish(reason: String): Placer.Criteria? {
        answer.finish(reason)
        return null
    }

    /** Handles a response that is not a stream, such as an error: relays it unless a retry may give a better one. */
    private suspend fun onNonStreamingAnswer(attempt: StreamAttempt): Step {
        val head = checkNotNull(attempt.head)
        val isUsable = !isRetryable(head.status) && answer.text.isEmpty()
        val end = if (isUsable) AttemptEnd.Good else AttemptEnd.Failed("status ${head.status}")
        attempt.end(context.dispatcher, exchange, end)
        avoidedServers += attempt.placement.server.id
        if (!isUsable && requestRetries.mayRetry(wasSent = true)) return retry()
        if (answer.hasSentPart) {
            exchange.fail(ErrorKind.BackendFailed, "status ${head.status} instead of the rest of the answer")
        } else {
            exchange.emit(ResponseEvent.Head(head.status, head.contentType))
            val body = attempt.nonStreamingBody.toString()
            if (body.isNotEmpty()) exchange.emit(ResponseEvent.Data(body))
            exchange.emit(ResponseEvent.End)
        }
        return Step.Answered
    }

    private suspend fun onFailure(attempt: StreamAttempt, end: AttemptEnd): Step {
        attempt.end(context.dispatcher, exchange, end)
        avoidedServers += attempt.placement.server.id
        logger.info { "stream: attempt ${attempt.id} at ${attempt.placement.server.id} failed: $end" }
        return if (canResume() && requestRetries.mayRetry(wasSent = end !is AttemptEnd.NotSent)) {
            retry()
        } else {
            val kind = if (exchange.runState == RunState.NOT_RUN) ErrorKind.NoBackend else ErrorKind.BackendFailed
            exchange.fail(Problem(kind, "attempt ${attempt.id} failed: $end"))
            Step.Answered
        }
    }

    /** Whether another attempt can continue the answer, or regenerate it if nothing was sent to the caller yet. */
    private fun canResume(): Boolean {
        if (!answer.isResumable && !answer.hasSentPart) answer.restart()
        return answer.isResumable
    }

    private fun retry(preferredServer: BackendServerId? = null) = Step.Retry(
        Placer.Criteria(
            avoidedServers.toSet(),
            preferredServer,
            current?.placement?.listed?.entry?.version,
            isResume = answer.text.isNotEmpty(),
        ),
    )

    private suspend fun onTick(attempt: StreamAttempt): Step = when {
        answer.finishReason != null -> complete(attempt)

        attempt.lastEventAt.elapsedNow() >= SILENCE_TIMEOUT -> onSilence(attempt)

        attempt.reorderBuffer.isLimitExceeded || attempt.gapSince?.let { it.elapsedNow() >= SILENCE_TIMEOUT } == true ->
            onFailure(attempt, AttemptEnd.Failed("a chunk is missing"))

        else -> onLeave(attempt)
    }

    /**
     * Handles a connection without any event for [SILENCE_TIMEOUT], although engines send a comment every second. A
     * probe distinguishes a dead connection, which is not counted against the server, from a dead server.
     */
    private suspend fun onSilence(attempt: StreamAttempt): Step {
        val server = attempt.placement.server
        val probe = context.dispatcher.probe(server)
        attempt.events.tryReceive().getOrNull()?.let { return onEvent(attempt, it) }
        val failure = probe.leftOrNull()
        return when {
            failure == ProbeFailure.Refused ->
                onFailure(attempt, AttemptEnd.Broken("no data on the connection, and the server refuses new ones"))

            failure != null ->
                onFailure(attempt, AttemptEnd.Failed("no data on the connection, and a probe failed: $failure"))

            silentConnections++ >= MAX_SILENT_CONNECTIONS || !canResume() ->
                onFailure(attempt, AttemptEnd.Failed("no data on the connection, and it can't be replaced"))

            else -> {
                logger.info { "stream: no data from ${server.id} for attempt ${attempt.id}, opening a new connection" }
                attempt.end(context.dispatcher, exchange, AttemptEnd.Silent(remainingStreamTime(attempt)))
                retry(preferredServer = server.id)
            }
        }
    }

    /** Moves the stream if its server leaves before the answer ends; if that fails, the next tick tries again. */
    private suspend fun onLeave(attempt: StreamAttempt): Step {
        val notice = remainingNotice(attempt) ?: return Step.Continue
        if (StreamMigration.canFinishInPlace(remainingStreamTime(attempt), notice) || !canResume()) return Step.Continue
        val version = attempt.placement.listed.entry.version
        val criteria = Placer.Criteria(setOf(attempt.placement.server.id), version = version, isResume = true)
        val target = context.placer.tryPlace(exchange, criteria)
        if (target == null) return if (notice <= MIN_NOTICE) leaveWithoutTarget(attempt) else Step.Continue
        val id = exchange.nextAttempt()
        val isPermitted = target.server.id != attempt.placement.server.id &&
            context.judge.permitAttempt(request.fingerprint, id).isRight()
        if (!isPermitted) {
            target.grant.release(AttemptOutcome.NOT_SENT)
            return Step.Continue
        }
        return try {
            transferKv(attempt, target, notice)
            move(attempt, id, target)
        } finally {
            // After a successful move the new attempt owns the grant and is the current one.
            if (current === attempt) target.grant.release(AttemptOutcome.NOT_SENT)
        }
    }

    /** Ends the attempt because no place was free during the notice, and waits for one before the server stops. */
    private suspend fun leaveWithoutTarget(attempt: StreamAttempt): Step {
        attempt.end(context.dispatcher, exchange, AttemptEnd.Abandoned)
        avoidedServers += attempt.placement.server.id
        return retry()
    }

    private suspend fun move(attempt: StreamAttempt, id: String, target: Placement): Step {
        // Events that arrived in the meantime are part of the text that the new attempt continues.
        var step: Step = Step.Continue
        while (step == Step.Continue) {
            val event = attempt.events.tryReceive().getOrNull() ?: break
            step = onEvent(attempt, event)
        }
        if (step != Step.Continue || answer.finishReason != null || isTokenLimitReached()) return step
        if (open(id, target) == null) return Step.Continue
        logger.info { "stream: request ${request.id} moves to ${target.server.id} after ${answer.tokens} tokens" }
        attempt.end(context.dispatcher, exchange, AttemptEnd.Abandoned)
        return Step.Continue
    }

    private suspend fun transferKv(attempt: StreamAttempt, target: Placement, notice: Duration) {
        val from = attempt.placement.listed
        val isOffered = from.entry.kvTransfer && target.listed.entry.kvTransfer
        val recomputed = answer.tokens + chat.promptChars / ChatBody.CHARS_PER_TOKEN
        if (StreamMigration.chooseMethod(isOffered, recomputed, notice) != StreamMigration.Method.KV_TRANSFER) return
        // The transfer is optional: without it the target recomputes the prefix.
        withTimeoutOrNull(KV_TRANSFER_TIMEOUT) {
            context.client.exportKv(from.server, request.id)?.let { context.client.importKv(target.server, it) }
        }
    }

    /** Time until the server stops; null while it is in service. */
    private fun remainingNotice(attempt: StreamAttempt): Duration? {
        val state = context.directory.find(attempt.placement.server.id)?.state
        val leaving = state as? ListedServer.State.Leaving
        val isOutOfService = context.catalogue()?.isInService(attempt.placement.server.failureDomain) == false
        if (leaving == null && !isOutOfService) {
            attempt.serverEnd = null
            return null
        }
        val known = attempt.serverEnd
        val stated = leaving?.remainingMillis?.let { context.time.markNow() + it.milliseconds }
        val end = listOfNotNull(known, stated).minOrNull() ?: (context.time.markNow() + StreamMigration.DEFAULT_NOTICE)
        attempt.serverEnd = end
        return -end.elapsedNow()
    }

    /** Expected time until the answer is complete. */
    private fun remainingStreamTime(attempt: StreamAttempt): Duration {
        val prefill = if (attempt.firstChunkAt == null) exchange.limits.firstByteMillis.milliseconds else Duration.ZERO
        val tokens = lengths.estimateRemainingTokens(answer.tokens, chat.maxTokens)
        return prefill + attempt.interval(DEFAULT_INTERVAL) * tokens
    }

    private sealed interface Step {
        data object Continue : Step

        data object Answered : Step

        data class Retry(val criteria: Placer.Criteria) : Step
    }

    private companion object {
        /** Three missed keep-alive comments of the engine. */
        val SILENCE_TIMEOUT = 3.seconds

        /** Remaining notice, two ticks, at which a stream without a free target leaves its server anyway. */
        val MIN_NOTICE = StreamTicker.PERIOD * 2

        /** Silent connections of one request that are not counted against the server. */
        const val MAX_SILENT_CONNECTIONS = 3

        /** Events buffered for a caller that reads slowly; beyond this, backpressure reaches the engine. */
        const val BUFFERED_EVENTS = 64

        /** Assumed until a stream has two chunks: the design target for the time between tokens. */
        val DEFAULT_INTERVAL = 77.milliseconds

        /** Half of the time within which a granted place must be used. */
        val KV_TRANSFER_TIMEOUT = 1.seconds
    }
}
