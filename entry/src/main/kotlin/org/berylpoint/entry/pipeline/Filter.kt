package org.berylpoint.entry.pipeline

/** One step of the pipeline: answers the exchange or passes it to the next filter, which it holds a reference to. */
internal fun interface Filter {
    suspend fun handle(exchange: Exchange)
}
