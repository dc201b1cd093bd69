package org.berylpoint.entry.stream

import kotlinx.coroutines.coroutineScope
import org.berylpoint.entry.pipeline.Exchange
import org.berylpoint.entry.pipeline.Filter

/** Serves requests to model engines; see [StreamSession]. */
internal class StreamFilter(private val context: StreamContext, private val ticker: StreamTicker) : Filter {
    override suspend fun handle(exchange: Exchange) =
        ticker.use { ticks -> coroutineScope { StreamSession(exchange, context, this, ticks).run() } }
}
