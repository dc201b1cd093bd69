package org.berylpoint.entry.stream

import kotlinx.coroutines.channels.ReceiveChannel
import org.berylpoint.entry.backend.BackendEvent
import org.berylpoint.entry.pipeline.AttemptEnd
import org.berylpoint.entry.pipeline.Dispatcher
import org.berylpoint.entry.pipeline.Exchange
import org.berylpoint.entry.pipeline.Placement
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/** One attempt to generate the rest of an answer, with its connection and its reorder buffer. */
internal class StreamAttempt(
    val id: String,
    val placement: Placement,
    val events: ReceiveChannel<BackendEvent>,
    private val started: ComparableTimeMark,
) {
    val reorderBuffer = ChunkReorderBuffer(id)

    /** Time of the last event on the connection, keep-alive comments included. */
    var lastEventAt: ComparableTimeMark = started

    /** Status and content type of the response; null until they arrive. */
    var head: BackendEvent.Head? = null

    /** Whether the engine sent `[DONE]`, the end of its chunks. */
    var isDoneReceived: Boolean = false

    /** Expected time at which the server stops; null while it is in service. */
    var serverEnd: ComparableTimeMark? = null

    /** Time since which buffered chunks wait for a missing one; null without a gap. */
    var gapSince: ComparableTimeMark? = null

    /** Body of a response that is not an event stream, such as an error. */
    val nonStreamingBody = StringBuilder()

    /** Whether the response is an error or not an event stream; false until its head arrives. */
    val isNonStreaming: Boolean
        get() = head?.let { it.status != STATUS_OK || !it.contentType.startsWith("text/event-stream") } ?: false

    var firstChunkAt: ComparableTimeMark? = null
        private set

    var chunkCount: Int = 0
        private set

    private var isSettled = false

    fun recordChunk(now: ComparableTimeMark) {
        firstChunkAt = firstChunkAt ?: now
        chunkCount++
    }

    /** Time from the dispatch to the first chunk; null until it arrives. */
    val timeToFirstChunk: Duration? get() = firstChunkAt?.let { it - started }

    /** Time since the dispatch. */
    val age: Duration get() = started.elapsedNow()

    /** Mean time between chunks; [fallback] before the second chunk. */
    fun interval(fallback: Duration): Duration {
        val first = firstChunkAt
        return if (first == null || chunkCount < 2) fallback else (lastEventAt - first) / (chunkCount - 1)
    }

    /** Closes the connection and settles the attempt; calls after the first do nothing. */
    suspend fun end(dispatcher: Dispatcher, exchange: Exchange, end: AttemptEnd) {
        if (isSettled) return
        isSettled = true
        events.cancel()
        dispatcher.settle(exchange, placement, id, end)
    }

    private companion object {
        const val STATUS_OK = 200
    }
}
