package org.berylpoint.entry.gateway.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.runBlocking
import org.berylpoint.model.BackendServerId
import org.berylpoint.platform.wire.RequestHeaders
import kotlin.time.Duration.Companion.seconds

/** A server that writes an earlier refusal once more on a kept connection, over real connections. */
class ServerRefusalCopyTest :
    FunSpec({
        for (status in listOf("503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request")) {
            for (copyHasId in listOf(true, false)) {
                val copy = "a copy of an earlier ${status.take(3)} ${if (copyHasId) "with its id" else "without an id"}"

                // Guards against callers who are told "not run" for a request that the server runs (REFUSED), and
                // against a second run of it at another server (TWICE).
                test("$copy does not say that the next request has not run") {
                    val server = ScriptedTcpServer {
                        val first = readRequest()!!
                        send(refusal(status, headerOf(first, RequestHeaders.REQUEST_ID)))
                        val second = readRequest() ?: return@ScriptedTcpServer
                        send(refusal(status, headerOf(first, RequestHeaders.REQUEST_ID).takeIf { copyHasId }))
                        send(answerTo(second, "ran"))
                    }
                    refusalsOfTwoRequests(server) shouldBe listOf("not run", "may have run")
                    server.requests.size shouldBe 2
                }
            }

            test("a copy of an earlier ${status.take(3)} on an idle connection does not reach the next request") {
                val server = ScriptedTcpServer {
                    val first = readRequest()!!
                    if (number > 1) return@ScriptedTcpServer send(answerTo(first, "ran"))
                    send(refusal(status, headerOf(first, RequestHeaders.REQUEST_ID)))
                    Thread.sleep(50)
                    send(refusal(status, headerOf(first, RequestHeaders.REQUEST_ID)))
                    readRequest()
                }
                refusalsOfTwoRequests(server, pauseMillis = 150) shouldBe listOf("not run", "ran")
            }
        }
    })

private fun refusal(status: String, id: String?): String = buildString {
    append("HTTP/1.1 $status\r\n")
    if (id != null) append("${RequestHeaders.REQUEST_ID}: $id\r\n")
    append("${RequestHeaders.NOT_RUN}: 1\r\nContent-Length: 0\r\n\r\n")
}

/** Sends two requests one after the other and returns what the responses say of each of them. */
private fun refusalsOfTwoRequests(server: ScriptedTcpServer, pauseMillis: Long = 0): List<String> = server.use {
    HttpServerClient().use { client ->
        listOf("r1", "r2").map { id ->
            if (id == "r2") Thread.sleep(pauseMillis)
            val exchange = client.send(BackendServerId("s"), server.address, request(id))
            runBlocking { statementOf(exchange) }
        }
    }
}

private suspend fun statementOf(exchange: ServerExchange): String {
    var isNotRun = false
    while (true) {
        when (val event = exchange.next(5.seconds) ?: return "nothing") {
            is ServerEvent.Head -> isNotRun = event.isNotRun
            is ServerEvent.Data -> Unit
            is ServerEvent.End -> return if (isNotRun) "not run" else "ran"
            is ServerEvent.Failed -> return if (event.isSent && !isNotRun) "may have run" else "not run"
            is ServerEvent.Withheld -> error("withheld: ${event.obstacle}")
        }
    }
}

private fun request(id: String) = ServerRequest(
    id,
    "POST",
    "/draft",
    listOf(RequestHeaders.REQUEST_ID to id),
    "body".encodeToByteArray(),
    isStream = true,
    needsNewConnection = false,
)
