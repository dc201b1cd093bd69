package org.berylpoint.entry.gateway.caller

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import kotlinx.coroutines.delay
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/** How old a request is when it is handed over, as seen over a real connection. */
class RequestAgeTest :
    FunSpec({
        // Guards against deadlines that count from the end of a slow body, or from an earlier request.
        test("the age of a request counts from its own first byte") {
            val ages = LinkedBlockingQueue<Long>()
            CallerServerFixture { exchange ->
                ages += exchange.request.ageMillis
                exchange.respond(200, emptyList(), ByteArray(0))
            }.use { server ->
                server.connect().use {
                    val output = it.getOutputStream()
                    output.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab".encodeToByteArray())
                    delay(BODY_DELAY_MILLIS.milliseconds)
                    output.write("cd".encodeToByteArray())
                    ages.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS)!! shouldBeGreaterThanOrEqual BODY_DELAY_MILLIS - 50
                    delay(IDLE_MILLIS.milliseconds)
                    output.write("GET /b HTTP/1.1\r\nHost: h\r\n\r\n".encodeToByteArray())
                    ages.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS)!! shouldBeLessThan IDLE_MILLIS
                }
            }
        }
    })

private const val BODY_DELAY_MILLIS = 400L
private const val IDLE_MILLIS = 2_000L
private const val MAX_WAIT_SECONDS = 10L
