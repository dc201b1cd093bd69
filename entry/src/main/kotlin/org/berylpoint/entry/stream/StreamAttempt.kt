package org.berylpoint.entry.stream

import kotlinx.coroutines.channels.ReceiveChannel
import org.berylpoint.entry.backend.BackendEvent
import org.berylpoint.entry.pipeline.AttemptEnd
import org.berylpoint.entry.pipeline.Dispatcher
import org.berylpoint.entry.pipeline.Exchange
import org.berylpoint.entry.pipeline.Placement
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/** One attempt to generate the rest of an answer: a connection, and the order of its chunks. */
internal class StreamAttempt(
    val id: String,
    val placement: Placement,
    val events: ReceiveChannel<BackendEvent>,
    private val started: ComparableTimeMark,
) {
    val reorderBuffer = ChunkReorderBuffer(id)

    /** The last time anything came over the connection. */
    var lastEventAt: ComparableTimeMark = started

    /** The answer's head, once it came. */
    var head: BackendEvent.Head? = null

    /** Whether the engine said that all chunks were sent. */
    var isDoneReceived: Boolean = false

    /** When the server ends, as far as is known; null while it is in service. */
    var serverEnd: ComparableTimeMark? = null

    /** Since when chunks wait for an earlier one. */
    var gapSince: ComparableTimeMark? = null

    /** Body of an answer that is no stream of events, such as an error. */
    val nonStreamingBody = StringBuilder()

    val isNonStreaming: Boolean
        get() = head?.let { it.status != STATUS_OK || !it.contentType.startsWith("text/event-stream") } ?: false

    var firstChunkAt: ComparableTimeMark? = null
        private set

    var chunks: Int = 0
        private set

    private var isSettled = false

    fun recordChunk(now: ComparableTimeMark) {
        firstChunkAt = firstChunkAt ?: now
        chunks++
    }

    /** Time from the dispatch to the first chunk, null before it. */
    val timeToFirstChunk: Duration? get() = firstChunkAt?.let { it - started }

    /** Time since the dispatch. */
    val age: Duration get() = started.elapsedNow()

    /** Mean time between chunks, [fallback] before the second one. */
    fun interval(fallback: Duration): Duration {
        val first = firstChunkAt
        return if (first == null || chunks < 2) fallback else (lastEventAt - first) / (chunks - 1)
    }

    /** Closes the connection and settles the attempt once; later calls do nothing. */
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
