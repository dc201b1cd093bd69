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
 * Sets logging up: JSON lines to standard output, from a queue that drops lines rather than hold up a request. The
 * environment variable `BERYLPOINT_LOG_LEVEL` sets the level. Where the class path has a `logback-test.xml`, that file
 * sets logging up instead.
 *
 * The set-up is code since parsing a file in XML is a large part of a start, in which callers wait.
 */
public class LogConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): ExecutionStatus {
        if (javaClass.classLoader.getResource(TEST_FILE) != null) return ExecutionStatus.INVOKE_NEXT_IF_ANY
        val output = ConsoleAppender<ILoggingEvent>()
        output.context = context
        output.encoder = JsonLineEncoder().apply { start() }
        output.start()
        val queue = AsyncAppender()
        queue.context = context
        queue.queueSize = QUEUED_LINES
        // Lines of all levels are kept until the queue is full.
        queue.discardingThreshold = 0
        queue.isNeverBlock = true
        queue.addAppender(output)
        queue.start()
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO)
        root.addAppender(queue)
        for (name in VERBOSE) context.getLogger(name).level = Level.WARN
        context.getLogger(DECISION_LOGGER).level = Level.INFO
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    public companion object {
        /** The logger of decisions, which are written at any level of the others. */
        public const val DECISION_LOGGER: String = "berylpoint.decision"
        private const val TEST_FILE = "logback-test.xml"
        private const val LEVEL_VARIABLE = "BERYLPOINT_LOG_LEVEL"
        private const val QUEUED_LINES = 2_048

        /** Writes out what is still queued; call it before the runtime is halted. */
        public fun flush() {
            (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
        }

        /** Libraries that write a line for each connection or request. */
        private val VERBOSE = listOf("org.eclipse.jetty", "io.javalin")
    }
}
