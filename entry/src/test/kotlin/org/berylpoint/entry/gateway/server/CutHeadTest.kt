package org.berylpoint.entry.gateway.server

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.runBlocking
import org.berylpoint.model.BackendServerId
import kotlin.time.Duration.Companion.seconds

/** Servers that stop in the middle of a response's head, over real connections. */
class CutHeadTest :
    FunSpec({
        // Guards against a caller who gets a complete 200 with an empty or short body (MIXED, ORDER).
        for (isStream in listOf(false, true)) {
            for (isReset in listOf(false, true)) {
                val kind = if (isStream) "stream" else "plain response"
                val end = if (isReset) "reset" else "closed"

                test("a $kind whose connection is $end at any byte of its head is a failure that may have run") {
                    val heads = listOf(FIXED_LENGTH, CHUNKED, "HTTP/1.1 100 Continue\r\n\r\n$FIXED_LENGTH")
                    HttpServerClient().use { client ->
                        for (head in heads) {
                            for (sent in 0 until head.length) {
                                withClue("${head.take(sent)}<end>") {
                                    val event = eventOfCut(client, head.take(sent), isStream, isReset)
                                    event.shouldBeInstanceOf<ServerEvent.Failed>().isSent shouldBe true
                                }
                            }
                        }
                    }
                }
            }
        }
    })

private const val FIXED_LENGTH =
    "HTTP/1.1 200 OK\r\nX-Berylpoint-Request-Id: r1\r\nContent-Type: text/event-stream\r\nContent-Length: 80\r\n\r\n"
private const val CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

/** The first event of a response of which only [sent] arrives. */
private fun eventOfCut(client: HttpServerClient, sent: String, isStream: Boolean, isReset: Boolean): ServerEvent? {
    val server = ScriptedTcpServer {
        readRequest()
        send(sent)
        if (isReset) reset()
    }
    val request =
        ServerRequest("r1", "POST", "/draft", emptyList(), ByteArray(0), isStream, needsNewConnection = false)
    return server.use {
        val exchange = client.send(BackendServerId("s"), it.address, request)
        runBlocking { exchange.next(5.seconds) }
    }
}
