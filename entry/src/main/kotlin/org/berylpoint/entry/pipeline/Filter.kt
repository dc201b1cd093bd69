package org.berylpoint.entry.pipeline

/** One step of the pipeline: answers the exchange or hands it to the next filter, which it knows. */
internal fun interface Filter {
    suspend fun handle(exchange: Exchange)
}
