package org.berylpoint.entry.gateway

import org.berylpoint.entry.log.LogConfigurator
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicLong

/**
 * Structured log of decisions: one line for each decision about a request and for each change of the process's state.
 *
 * Failures and late answers are always written. Of the other successes one in [successSampleInterval] is written, so
 * that the volume stays bounded under load. The appender is asynchronous and drops lines rather than block.
 */
public class DecisionLog(private val successSampleInterval: Int = DEFAULT_SUCCESS_SAMPLE_INTERVAL) {
    private val log = LoggerFactory.getLogger(LogConfigurator.DECISION_LOGGER)
    private val successes = AtomicLong()

    /** Logs a decision about the request with [id]. */
    public fun request(component: String, id: String, outcome: String, vararg fields: Pair<String, Any?>) {
        write("$component: request $outcome", listOf("request" to id, "outcome" to outcome) + fields)
    }

    /** Logs that the request with [id] was served; sampled unless the answer was late. */
    public fun served(id: String, isLate: Boolean, vararg fields: Pair<String, Any?>) {
        val isSampled = successes.incrementAndGet() % successSampleInterval == 0L
        when {
            isLate -> request("flow", id, "served-late", *fields)
            isSampled -> request("flow", id, "served", *fields)
        }
    }

    /** Logs a change of the process's own state or of what it knows about the site. */
    public fun event(component: String, message: String, vararg fields: Pair<String, Any?>) {
        write("$component: $message", fields.asList())
    }

    private fun write(message: String, fields: List<Pair<String, Any?>>) {
        val builder = log.atInfo().setMessage(message)
        fields.fold(builder) { line, (name, value) -> line.addKeyValue(name, value) }.log()
    }

    private companion object {
        const val DEFAULT_SUCCESS_SAMPLE_INTERVAL = 50
    }
}
