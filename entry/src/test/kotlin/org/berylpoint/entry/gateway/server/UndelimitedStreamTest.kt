package org.berylpoint.entry.gateway.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.runBlocking
import org.berylpoint.model.BackendServerId
import org.berylpoint.platform.wire.RequestHeaders
import kotlin.time.Duration.Companion.seconds

/** Streams with neither a length nor chunks, which end with their connection, over real connections. */
class UndelimitedStreamTest :
    FunSpec({
        // Guards against the loss of what follows the last complete event, by which a broken stream is told.
        test("the bytes after the last complete event arrive as a part of their own") {
            eventsOf { send(HEAD + FIRST + "id: 2\nda") } shouldBe listOf(FIRST, "id: 2\nda", "end")
        }

        test("a stream that ends with its connection after a complete event ends") {
            eventsOf { send(HEAD + FIRST) } shouldBe listOf(FIRST, "end")
        }

        test("a stream that its server resets does not end, but fails") {
            eventsOf {
                send(HEAD + FIRST)
                Thread.sleep(100)
                reset()
            } shouldBe listOf(FIRST, "failed")
        }

        // Guards against the text of an error that is taken for events of a stream.
        test("a body of another type comes whole, not split at empty lines") {
            val typed = HEAD.replace("\r\n\r\n", "\r\nContent-Type: text/html\r\n\r\n")
            eventsOf { send(typed + "<p>\n\n<p>\n\n") } shouldBe listOf("<p>\n\n<p>\n\n", "end")
        }

        test("a body of the type of streams with a parameter is split into events") {
            val typed = HEAD.replace("\r\n\r\n", "\r\nContent-Type: Text/Event-Stream; charset=utf-8\r\n\r\n")
            eventsOf { send(typed + FIRST + "id: 2\nda") } shouldBe listOf(FIRST, "id: 2\nda", "end")
        }
    })

private const val HEAD = "HTTP/1.1 200 OK\r\n${RequestHeaders.REQUEST_ID}: r1\r\n\r\n"
private const val FIRST = "id: 1\ndata: x\n\n"

/** The texts of the events of a stream that [respond] sends, and how it ends. */
private fun eventsOf(respond: ScriptedConnection.() -> Unit): List<String> {
    val server = ScriptedTcpServer {
        readRequest()
        respond()
    }
    val headers = listOf(RequestHeaders.REQUEST_ID to "r1")
    val request =
        ServerRequest("r1", "POST", "/draft", headers, ByteArray(0), isStream = true, needsNewConnection = false)
    return server.use {
        HttpServerClient().use { client ->
            runBlocking { textsOf(client.send(BackendServerId("s"), server.address, request)) }
        }
    }
}

private suspend fun textsOf(exchange: ServerExchange): List<String> = buildList {
    while (true) {
        when (val event = exchange.next(5.seconds)) {
            is ServerEvent.Head -> Unit
            is ServerEvent.Data -> add(event.bytes.decodeToString())
            is ServerEvent.End -> return@buildList Unit.also { add("end") }
            is ServerEvent.Failed -> return@buildList Unit.also { add("failed") }
            is ServerEvent.Withheld -> error("withheld: ${event.obstacle}")
            null -> error("no event within 5 s")
        }
    }
}
