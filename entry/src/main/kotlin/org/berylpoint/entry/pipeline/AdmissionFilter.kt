package org.berylpoint.entry.pipeline

import org.berylpoint.model.ErrorKind
import org.berylpoint.model.ServiceKind
import kotlin.time.Duration

/** Refuses what can't be served at all, before anything is recorded or sent. */
internal class AdmissionFilter(private val idempotent: Filter, private val nonIdempotent: Filter) : Filter {
    override suspend fun handle(exchange: Exchange) {
        val request = exchange.request
        when {
            exchange.entries.none { it.kind == request.kind } ->
                exchange.fail(ErrorKind.UnknownClass, "no ${request.kind.name.lowercase()} '${request.requestClass}'")

            exchange.remaining <= Duration.ZERO ->
                exchange.fail(ErrorKind.DeadlineExceeded, "the deadline had passed on arrival")

            exchange.limits.idempotent -> idempotent.handle(exchange)

            request.idempotencyKey == null ->
                exchange.fail(ErrorKind.KeyRequired, "class '${request.requestClass}' is not idempotent")

            // The stored answer of a repeat is whole; a stream of it could not be resumed.
            request.kind == ServiceKind.MODEL && request.stream ->
                exchange.fail(ErrorKind.MalformedRequest, "/stream: must be false for a non-idempotent class")

            else -> nonIdempotent.handle(exchange)
        }
    }
}
