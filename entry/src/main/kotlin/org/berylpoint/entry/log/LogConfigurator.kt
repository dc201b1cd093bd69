package org.berylpoint.entry.log

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Configures logback: JSON lines on standard output, written from a queue that drops lines instead of blocking a
 * request when it is full. The environment variable `BERYLPOINT_LOG_LEVEL` sets the level. If the class path contains
 * `logback-test.xml`, logback uses that file instead.
 *
 * This is code because parsing an XML file takes a large part of the start-up, during which callers wait.
 */
public class LogConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): ExecutionStatus {
        if (javaClass.classLoader.getResource(TEST_CONFIG_FILE) != null) return ExecutionStatus.INVOKE_NEXT_IF_ANY
        val output = ConsoleAppender<ILoggingEvent>()
        output.context = context
        output.encoder = JsonLineEncoder().apply { start() }
        output.start()
        val queue = AsyncAppender()
        queue.context = context
        queue.queueSize = QUEUE_CAPACITY_LINES
        // By default, AsyncAppender drops lines up to INFO before the queue is full.
        queue.discardingThreshold = 0
        queue.isNeverBlock = true
        queue.addAppender(output)
        queue.start()
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO)
        root.addAppender(queue)
        for (name in VERBOSE_LOGGERS) context.getLogger(name).level = Level.WARN
        context.getLogger(DECISION_LOGGER).level = Level.INFO
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    public companion object {
        /** Name of the logger of decisions, which logs at INFO whatever the level of the root logger. */
        public const val DECISION_LOGGER: String = "berylpoint.decision"
        private const val TEST_CONFIG_FILE = "logback-test.xml"
        private const val LEVEL_VARIABLE = "BERYLPOINT_LOG_LEVEL"
        private const val QUEUE_CAPACITY_LINES = 2_048

        /** Writes the queued lines and stops logging; call it before the JVM is halted. */
        public fun flush() {
            (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
        }

        /** Loggers of libraries that log a line for each connection or request. */
        private val VERBOSE_LOGGERS = listOf("org.eclipse.jetty", "io.javalin")
    }
}
