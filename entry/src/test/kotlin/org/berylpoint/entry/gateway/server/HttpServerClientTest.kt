package org.berylpoint.entry.gateway.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.runBlocking
import org.berylpoint.model.BackendServerId
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds

class HttpServerClientTest :
    FunSpec({
        test("a request is sent with the caller's target and without headers of the client's own") {
            RawServer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").use { server ->
                collect(server, request("/a%2Fb/c?x=1&y"))
                server.requests[0] shouldContain "POST /a%2Fb/c?x=1&y HTTP/1.1\r\n"
                server.requests[0] shouldNotContain "Accept-Encoding"
                server.requests[0] shouldNotContain "User-Agent"
            }
        }

        // Guards against requests that reach a server long after they were passed on, when nobody wants the response
        // any more (GONE) or the server leaves (DRAIN).
        for (obstacle in SendObstacle.entries) {
            test("a request is not sent on a new connection nor on a used one: ${obstacle.description}") {
                val response = "HTTP/1.1 200 OK\r\nX-Berylpoint-Request-Id: mine\r\nContent-Length: 0\r\n\r\n"
                ScriptedTcpServer { while (readRequest() != null) send(response) }.use { server ->
                    HttpServerClient().use { client ->
                        fun last(found: SendObstacle?) =
                            eventsOf(client, server.address, request("/a") { found }).last()
                        last(obstacle).shouldBeInstanceOf<ServerEvent.Withheld>().obstacle shouldBe obstacle
                        last(null).shouldBeInstanceOf<ServerEvent.End>()
                        last(obstacle).shouldBeInstanceOf<ServerEvent.Withheld>().obstacle shouldBe obstacle
                        server.requests shouldHaveSize 1
                    }
                }
            }
        }

        // Guards against notices of a server that are missed, and against ones that exclude it by mistake.
        for ((headers, notice) in mapOf(
            "Server-Leaving: 1" to (true to null),
            "server-leaving: 0" to (false to null),
            "Retry-After: 1.5" to (false to 1_500L),
            "Retry-After: soon" to (false to null),
            "Retry-After: -3" to (false to null),
            "Retry-After: 1e300" to (false to null),
            "Retry-After: NaN" to (false to null),
        )) {
            test("a 503 with `$headers` says that the server leaves and when it takes requests: $notice") {
                RawServer("HTTP/1.1 503 Busy\r\n$headers\r\nContent-Length: 0\r\n\r\n").use { server ->
                    val head = collect(server, request("/a")).first().shouldBeInstanceOf<ServerEvent.Head>()
                    (head.isServerLeaving to head.retryAfterMillis) shouldBe notice
                }
            }
        }

        // Guards against a limit that is missed, and against a value that excludes the server by mistake (LIMIT).
        for ((value, limit) in mapOf(
            "1.6" to 1.6,
            " 0.5 " to 0.5,
            "0" to 0.0,
            "-1" to null,
            "many" to null,
            "NaN" to null,
            "Infinity" to null,
        )) {
            test("a response with `Server-Limit: $value` names the limit $limit") {
                RawServer("HTTP/1.1 200 OK\r\nServer-Limit: $value\r\nContent-Length: 0\r\n\r\n").use {
                    val head = collect(it, request("/a")).first().shouldBeInstanceOf<ServerEvent.Head>()
                    head.requestsPerSecond shouldBe limit
                }
            }
        }

        test("a success says that the server leaves, and nothing of when it takes requests") {
            RawServer("HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n").use {
                val head = collect(it, request("/a")).first().shouldBeInstanceOf<ServerEvent.Head>()
                (head.isServerLeaving to head.retryAfterMillis) shouldBe (true to null)
            }
        }

        // Guards against a client that resends after these statuses, which would run a request twice.
        for (status in listOf(
            "503 Service Unavailable\r\nRetry-After: 0",
            "408 Request Timeout",
            "421 Misdirected Request",
        )) {
            test("a request is sent once if the server responds with ${status.take(3)}") {
                RawServer("HTTP/1.1 $status\r\nContent-Length: 0\r\n\r\n").use { server ->
                    collect(server, request("/a"))
                    server.requests shouldHaveSize 1
                }
            }
        }

        test("a response with the id of another request fails the request") {
            RawServer(
                "HTTP/1.1 200 OK\r\nX-Berylpoint-Request-Id: other\r\nContent-Length: 2\r\n\r\nok",
            ).use { server ->
                collect(server, request("/a")).single().shouldBeInstanceOf<ServerEvent.Failed>().isSent shouldBe true
            }
        }

        test("a response shorter than its Content-Length fails the request") {
            RawServer("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok", closes = true).use { server ->
                collect(server, request("/a")).last().shouldBeInstanceOf<ServerEvent.Failed>()
            }
        }

        test("bytes that are not HTTP fail the request as one that may have run") {
            RawServer("garbage\r\n\r\n", closes = true).use { server ->
                collect(server, request("/a")).last().shouldBeInstanceOf<ServerEvent.Failed>().isSent shouldBe true
            }
        }

        test("a refused connection fails the request as not sent") {
            val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
            val events = collect("127.0.0.1:$port", request("/a"))
            events.single().shouldBeInstanceOf<ServerEvent.Failed>().isSent shouldBe false
        }

        test("the events of a stream arrive complete and in order, with their ids") {
            val body = (1..200).joinToString("") { "id: $it\ndata: é$it\n\n" }
            RawServer(
                "HTTP/1.1 200 OK\r\nContent-Length: ${body.encodeToByteArray().size}\r\n\r\n$body",
            ).use { server ->
                val parts = collect(server, request("/a", isStream = true)).filterIsInstance<ServerEvent.Data>()
                parts.map { it.eventId } shouldBe (1L..200L).toList()
                parts.joinToString("") { it.bytes.decodeToString() } shouldBe body
            }
        }

        for (target in listOf("/a/b?x=%20&y", "//a/b?", "/a%2Fb/%7E?q='|../", "/a..b/...")) {
            test("the target $target is sent unchanged") {
                RawServer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").use { server ->
                    collect(server, request(target))
                    server.requests[0] shouldStartWith "POST $target HTTP/1.1\r\n"
                    RequestTarget.isSendable(target) shouldBe true
                }
            }
        }
    })

private fun request(target: String, isStream: Boolean = false, findObstacle: () -> SendObstacle? = { null }) =
    ServerRequest(
        "mine",
        "POST",
        target,
        listOf("Host" to "h.example"),
        "body".encodeToByteArray(),
        isStream,
        needsNewConnection = false,
        findObstacle,
    )

private fun collect(server: RawServer, request: ServerRequest) = collect("127.0.0.1:${server.port}", request)

private fun collect(address: String, request: ServerRequest): List<ServerEvent> =
    HttpServerClient().use { eventsOf(it, address, request) }

private fun eventsOf(client: HttpServerClient, address: String, request: ServerRequest): List<ServerEvent> {
    val exchange = client.send(BackendServerId("s"), address, request)
    return generateSequence { runBlocking { exchange.next(5_000.milliseconds) } }
        .takeWhileInclusive { it !is ServerEvent.End && it !is ServerEvent.Failed && it !is ServerEvent.Withheld }
        .toList()
}

private fun <T> Sequence<T>.takeWhileInclusive(condition: (T) -> Boolean): Sequence<T> = sequence {
    for (item in this@takeWhileInclusive) {
        yield(item)
        if (!condition(item)) break
    }
}

/** TCP server that responds to every request with the same bytes and, if [closes], then closes the connection. */
private class RawServer(private val response: String, private val closes: Boolean = false) : AutoCloseable {
    private val socket = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    val port: Int get() = socket.localPort
    val requests = CopyOnWriteArrayList<String>()

    init {
        thread(isDaemon = true) {
            while (!socket.isClosed) {
                runCatching {
                    socket.accept()
                }.onSuccess { thread(isDaemon = true) { runCatching { serve(it) } } }
            }
        }
    }

    private fun serve(connection: Socket) = connection.use {
        val input = it.getInputStream()
        val text = StringBuilder()
        while (true) {
            val byte = input.read()
            if (byte < 0) return@use
            text.append(byte.toChar())
            if (!text.endsWith("\r\n\r\nbody")) continue
            requests += text.toString()
            text.clear()
            it.getOutputStream().write(response.encodeToByteArray())
            it.getOutputStream().flush()
            if (closes) return@use
        }
    }

    override fun close() = socket.close()
}
