package org.berylpoint.entry.pipeline

import org.berylpoint.model.ErrorKind
import org.berylpoint.model.ServiceKind
import kotlin.time.Duration

/** Rejects requests that can't be served, before anything is recorded or sent, and routes the others by idempotency. */
internal class AdmissionFilter(private val idempotent: Filter, private val nonIdempotent: Filter) : Filter {
    override suspend fun handle(exchange: Exchange) {
        val request = exchange.request
        when {
            exchange.entries.none { it.kind == request.kind } ->
                exchange.fail(ErrorKind.UnknownClass, "no ${request.kind.name.lowercase()} '${request.requestClass}'")

            exchange.remaining <= Duration.ZERO ->
                exchange.fail(ErrorKind.DeadlineExceeded, "the deadline had already passed when the request arrived")

            exchange.limits.idempotent -> idempotent.handle(exchange)

            request.idempotencyKey == null ->
                exchange.fail(
                    ErrorKind.KeyRequired,
                    "class '${request.requestClass}' is not idempotent and requires an idempotency key",
                )

            // A repeated request gets the stored complete answer, so a stream could not be resumed from it.
            request.kind == ServiceKind.MODEL && request.stream ->
                exchange.fail(ErrorKind.MalformedRequest, "/stream: must be false for a non-idempotent class")

            else -> nonIdempotent.handle(exchange)
        }
    }
}
