package org.berylpoint.entry.stream

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds

/** Wakes all running streams periodically with one shared timer, which avoids a timer for each token of each stream. */
internal class StreamTicker(private val scope: CoroutineScope) {
    private val channels = LinkedHashSet<Channel<Unit>>()
    private var timer: Job? = null

    /** Runs [block] with a channel that receives a tick every [PERIOD]; missed ticks are merged into one. */
    suspend fun <T> use(block: suspend (ReceiveChannel<Unit>) -> T): T {
        val channel = Channel<Unit>(Channel.CONFLATED)
        channels += channel
        if (timer?.isActive != true) timer = scope.launch { run() }
        try {
            return block(channel)
        } finally {
            channels -= channel
        }
    }

    private suspend fun run() {
        while (channels.isNotEmpty()) {
            delay(PERIOD)
            channels.forEach { it.trySend(Unit) }
        }
    }

    companion object {
        /** Short compared with the notice before an instance is reclaimed, which is several seconds. */
        val PERIOD = 250.milliseconds
    }
}
