package org.berylpoint.entry.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.javalin.http.Context
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.Problem
import org.berylpoint.model.ResponseEvent
import org.berylpoint.model.RunState
import org.berylpoint.model.ServeRequest

private val logger = KotlinLogging.logger {}

/** Writes one answer to a caller; blocks while the caller's socket buffer is full. */
internal class CallerResponseWriter(private val context: Context, private val request: ServeRequest) {
    private val response = context.res()
    private val output by lazy(LazyThreadSafetyMode.NONE) { response.outputStream }
    private var headWritten = false
    private var events = false

    fun write(event: ResponseEvent) {
        when (event) {
            is ResponseEvent.Head -> head(event.status, event.contentType)
            is ResponseEvent.Data -> data(event.text)
            ResponseEvent.End -> Unit
            is ResponseEvent.Failed -> failed(event)
        }
    }

    /** A comment line; before the head nothing may be written, because the status is not known yet. */
    fun writeKeepAlive() {
        if (headWritten && events) print(": keep-alive\n\n")
    }

    fun flush() {
        if (headWritten) output.flush()
    }

    /** Tells the caller that the answer ends here, because this instance stops. */
    fun stop() = write(
        ResponseEvent.Failed(
            Problem(ErrorKind.ShuttingDown, "the entry instance stopped", runState = RunState.UNKNOWN),
        ),
    )

    private fun head(status: Int, contentType: String) {
        response.status = status
        response.contentType = contentType
        events = contentType.startsWith("text/event-stream")
        if (events) response.setHeader("Cache-Control", "no-cache")
        headWritten = true
    }

    private fun data(text: String) {
        print(if (events) text.lineSequence().joinToString("", postfix = "\n") { "data: $it\n" } else text)
    }

    private fun failed(event: ResponseEvent.Failed) {
        val body = event.problem.toJson(request.id)
        when {
            !headWritten -> {
                head(event.problem.kind.status, PROBLEM_JSON)
                print(body)
            }

            events -> print("event: error\ndata: $body\n\n")

            // Such an answer is checked before its head is written; see CallerServer.
            else -> logger.error { "http: the answer to ${request.id} broke off: ${event.problem.detail}" }
        }
    }

    private fun print(text: String) = output.write(text.toByteArray())
}
