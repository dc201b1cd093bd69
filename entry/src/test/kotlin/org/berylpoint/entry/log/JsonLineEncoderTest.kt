package org.berylpoint.entry.log

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.LoggingEvent
import ch.qos.logback.classic.spi.ThrowableProxy
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import org.slf4j.event.KeyValuePair
import java.time.Instant

class JsonLineEncoderTest :
    FunSpec({
        test("a decision is encoded as one line with its inputs as JSON values") {
            val event = event(Level.INFO, "duty: usage is reported")
            event.addKeyValuePair(KeyValuePair("window", 7L))
            event.addKeyValuePair(KeyValuePair("counts", mapOf("w" to 3L)))
            event.addKeyValuePair(KeyValuePair("servers", listOf("a", "b")))
            event.addKeyValuePair(KeyValuePair("cause", null))
            event.addKeyValuePair(KeyValuePair("isLate", false))
            line(event) shouldBe """{"time":"2026-12-04T12:00:00.001Z","message":"duty: usage is reported",""" +
                """"window":7,"counts":{"w":3},"servers":["a","b"],"cause":null,"isLate":false}""" + "\n"
        }

        // Guards against log injection: values from callers that forge a line.
        test("quotes and line breaks in a value are escaped") {
            val event = event(Level.INFO, "flow: request refused")
            event.addKeyValuePair(KeyValuePair("target", "/x\"\n{\"message\":\"y\"}"))
            line(event).count { it == '\n' } shouldBe 1
            line(event) shouldContain """"target":"/x\"\n{\"message\":\"y\"}"}"""
        }

        test("levels other than INFO and exceptions are included") {
            val event = event(Level.WARN, "lost")
            event.setThrowableProxy(ThrowableProxy(IllegalStateException("no store")))
            line(event) shouldContain """"level":"WARN","message":"lost","exception":"java.lang.IllegalState"""
            line(event) shouldEndWith "\n"
        }
    })

private fun event(level: Level, message: String): LoggingEvent {
    val logger = LoggerContext().getLogger("test")
    return LoggingEvent("test", logger, level, message, null, null)
        .apply { setInstant(Instant.parse("2026-12-04T12:00:00.001Z")) }
}

private fun line(event: LoggingEvent) = JsonLineEncoder().encode(event).decodeToString()
