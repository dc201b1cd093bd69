package org.berylpoint.entry.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.javalin.http.Context
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.Problem
import org.berylpoint.model.ResponseEvent
import org.berylpoint.model.RunState
import org.berylpoint.model.ServeRequest

private val logger = KotlinLogging.logger {}

/** Writes the response to one caller. Calls block while the caller's socket buffer is full. */
internal class CallerResponseWriter(private val context: Context, private val request: ServeRequest) {
    private val response = context.res()
    private val output by lazy(LazyThreadSafetyMode.NONE) { response.outputStream }
    private var isHeadWritten = false
    private var isEventStream = false

    fun write(event: ResponseEvent) {
        when (event) {
            is ResponseEvent.Head -> writeHead(event.status, event.contentType)
            is ResponseEvent.Data -> writeData(event.text)
            ResponseEvent.End -> Unit
            is ResponseEvent.Failed -> writeFailure(event)
        }
    }

    /** Writes a comment line to an event stream; does nothing before the head, as the status isn't known until then. */
    fun writeKeepAlive() {
        if (isHeadWritten && isEventStream) print(": keep-alive\n\n")
    }

    fun flush() {
        if (isHeadWritten) output.flush()
    }

    /** Ends the response with a `ShuttingDown` problem. */
    fun writeShutdown() = write(
        ResponseEvent.Failed(
            Problem(
                ErrorKind.ShuttingDown,
                "the entry instance stopped before the response was complete",
                runState = RunState.UNKNOWN,
            ),
        ),
    )

    private fun writeHead(status: Int, contentType: String) {
        response.status = status
        response.contentType = contentType
        isEventStream = contentType.startsWith("text/event-stream")
        if (isEventStream) response.setHeader("Cache-Control", "no-cache")
        isHeadWritten = true
    }

    private fun writeData(text: String) {
        print(if (isEventStream) text.lineSequence().joinToString("", postfix = "\n") { "data: $it\n" } else text)
    }

    private fun writeFailure(event: ResponseEvent.Failed) {
        val body = event.problem.toJson(request.id)
        when {
            !isHeadWritten -> {
                writeHead(event.problem.kind.status, PROBLEM_JSON)
                print(body)
            }

            isEventStream -> print("event: error\ndata: $body\n\n")

            // Not expected: CallerServer buffers such a response and checks for a failure before the head.
            else -> logger.error { "http: response to ${request.id} failed after its head: ${event.problem.detail}" }
        }
    }

    private fun print(text: String) = output.write(text.toByteArray())
}
