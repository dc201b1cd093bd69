package org.berylpoint.entry.stream

import arrow.core.getOrElse
import org.berylpoint.entry.backend.BackendEvent
import org.berylpoint.entry.judgement.Judge
import org.berylpoint.entry.pipeline.AttemptEnd
import org.berylpoint.entry.pipeline.Dispatcher
import org.berylpoint.entry.pipeline.Exchange
import org.berylpoint.entry.pipeline.Filter
import org.berylpoint.entry.pipeline.Placer
import org.berylpoint.entry.pipeline.Retries
import org.berylpoint.entry.pipeline.callOf
import org.berylpoint.model.AnswerEvent
import org.berylpoint.model.ErrorKind
import org.berylpoint.peer.AttemptOutcome

/** Serves a request to a model engine. */
internal class StreamFilter(
    private val placer: Placer,
    private val dispatcher: Dispatcher,
    private val judge: Judge,
    private val retries: Retries,
) : Filter {
    override suspend fun handle(exchange: Exchange) {
        retries.first()
        val placement = placer.place(exchange).getOrElse { return exchange.fail(it) }
        val attempt = exchange.nextAttempt()
        judge.permit(exchange.request.fingerprint, attempt).onLeft {
            placement.grant.release(AttemptOutcome.NOT_SENT)
            return exchange.fail(it)
        }
        var end: AttemptEnd = AttemptEnd.Abandoned
        try {
            val call = callOf(exchange, attempt, exchange.request.body, exchange.remaining, exchange.request.stream)
            dispatcher.send(exchange, placement, call).collect {
                when (it) {
                    is BackendEvent.Head -> exchange.emit(AnswerEvent.Head(it.status, it.contentType))

                    is BackendEvent.Data -> exchange.emit(AnswerEvent.Data(it.text))

                    BackendEvent.KeepAlive -> Unit

                    BackendEvent.End -> {
                        end = AttemptEnd.Good
                        exchange.emit(AnswerEvent.End)
                    }

                    is BackendEvent.Broken -> {
                        end = if (it.sent) AttemptEnd.Broken(it.detail) else AttemptEnd.NotSent(it.detail)
                        exchange.fail(if (it.sent) ErrorKind.BackendFailed else ErrorKind.NoBackend, it.detail)
                    }
                }
            }
        } finally {
            dispatcher.settle(exchange, placement, attempt, end)
        }
    }
}
