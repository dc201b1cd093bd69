package org.berylpoint.entry.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.berylpoint.platform.sample.SampleSite
import org.berylpoint.platform.wire.RequestHeaders
import java.io.IOException
import java.net.InetAddress
import java.net.Socket
import java.net.URI
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

class GatewayProcessStopTest :
    FunSpec({
        // Guards against a planned stop that cuts off requests which were just accepted.
        test("a stop under load ends after the answer to the last request that was accepted") {
            SampleSite().use { site ->
                val ports = Ports.free()
                val process = GatewayProcess(ports.settings(site), System::currentTimeMillis)
                process.start()
                val load = CallerLoad(ports.callers, site)
                load.awaitAnswers()
                process.stop()
                val ended = requestsEnded(ports.metrics)
                process.close()
                load.isProcessGone.set(true)
                load.join()
                load.answers.get() shouldBe ended
            }
        }
    })

/** Requests that the process whose metrics are at [port] has ended. */
private fun requestsEnded(port: Int): Int = URI("http://127.0.0.1:$port/metrics").toURL().readText().lines()
    .filter { it.startsWith("berylpoint_requests_total{") }
    .sumOf { it.substringAfterLast(' ').toDouble().toInt() }

/** Callers that each send one request after the other, on new connections, until the process is gone. */
private class CallerLoad(private val port: Int, private val site: SampleSite) {
    val isProcessGone = AtomicBoolean()

    /** Complete answers that the callers got. */
    val answers = AtomicInteger()
    private val threads = List(CALLERS) { caller -> thread { send(caller) } }

    fun awaitAnswers() {
        while (answers.get() == 0) Thread.sleep(10)
    }

    fun join() = threads.forEach { it.join() }

    private fun send(caller: Int) {
        var number = 0
        while (!isProcessGone.get()) {
            val socket = try {
                Socket(InetAddress.getLoopbackAddress(), port)
            } catch (e: IOException) {
                // A refused connection carries no request.
                Thread.sleep(5)
                continue
            }
            socket.use { request(it, "$caller-${number++}") }
        }
    }

    private fun request(socket: Socket, id: String) {
        val head = "POST ${site.plainPath} HTTP/1.1\r\nHost: ${site.host}\r\n${RequestHeaders.REQUEST_ID}: $id\r\n" +
            "Authorization: Bearer ${site.key}\r\n${RequestHeaders.TOKENS}: 1,1\r\nContent-Length: 2\r\n\r\n{}"
        try {
            socket.getOutputStream().write(head.encodeToByteArray())
            val input = socket.getInputStream().bufferedReader()
            val answerHead = generateSequence { input.readLine() }.takeWhile { it.isNotEmpty() }.toList()
            val length = answerHead.first { it.startsWith("Content-Length:") }.substringAfter(':').trim().toInt()
            if (input.read(CharArray(length)) == length) answers.incrementAndGet()
        } catch (e: IOException) {
            // The process does not accept connections any more.
        } catch (e: NoSuchElementException) {
            // The connection was closed without an answer.
        }
    }

    private companion object {
        const val CALLERS = 8
    }
}
