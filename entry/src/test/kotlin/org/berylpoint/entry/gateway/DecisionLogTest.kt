package org.berylpoint.entry.gateway

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.slf4j.LoggerFactory

class DecisionLogTest :
    FunSpec({
        test("successes on time are sampled") {
            loggedEvents { log -> repeat(100) { log.served("r$it", isLate = false) } }.size shouldBe 10
        }

        // Guards against late answers that sampling leaves out of the log, so that a complaint can't be traced.
        test("late answers are all written") {
            val lines = loggedEvents { log -> repeat(100) { log.served("r$it", isLate = true, "first" to 900) } }
            lines.size shouldBe 100
            lines.first().message shouldBe "flow: request served-late"
            lines.first().keyValuePairs.map { "${it.key}=${it.value}" } shouldBe
                listOf("request=r0", "outcome=served-late", "first=900")
        }
    })

/** The events that [block] writes to a log that samples one success in ten. */
private fun loggedEvents(block: (DecisionLog) -> Unit): List<ILoggingEvent> {
    val logger = LoggerFactory.getLogger("berylpoint.decision") as Logger
    val appender = ListAppender<ILoggingEvent>().apply { start() }
    val level = logger.level
    logger.level = Level.INFO
    logger.addAppender(appender)
    try {
        block(DecisionLog(successSampleInterval = 10))
    } finally {
        logger.detachAppender(appender)
        logger.level = level
    }
    return appender.list.toList()
}
