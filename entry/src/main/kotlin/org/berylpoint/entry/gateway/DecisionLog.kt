package org.berylpoint.entry.gateway

import org.berylpoint.entry.log.LogConfigurator
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicLong

/**
 * Structured log lines of decisions: one for each that touches a request or changes what the process believes.
 *
 * Failures and late answers are always written; other successes are thinned to one in [successSampleInterval], so that
 * the volume stays bounded under load. The appender behind it is asynchronous and drops lines rather than block.
 */
public class DecisionLog(private val successSampleInterval: Int = SUCCESS_SAMPLE) {
    private val log = LoggerFactory.getLogger(LogConfigurator.DECISIONS)
    private val successes = AtomicLong()

    /** A decision about one request. */
    public fun request(part: String, id: String, outcome: String, vararg inputs: Pair<String, Any?>) {
        write("$part: request $outcome", listOf("request" to id, "outcome" to outcome) + inputs)
    }

    /** A request that was served; thinned unless it was late. */
    public fun served(id: String, isLate: Boolean, vararg inputs: Pair<String, Any?>) {
        val isSampled = successes.incrementAndGet() % successSampleInterval == 0L
        when {
            isLate -> request("flow", id, "served-late", *inputs)
            isSampled -> request("flow", id, "served", *inputs)
        }
    }

    /** A change of what the process believes, or of its own state. */
    public fun event(part: String, sentence: String, vararg inputs: Pair<String, Any?>) {
        write("$part: $sentence", inputs.asList())
    }

    private fun write(message: String, inputs: List<Pair<String, Any?>>) {
        val line = log.atInfo().setMessage(message)
        inputs.fold(line) { sum, (name, value) -> sum.addKeyValue(name, value) }.log()
    }

    private companion object {
        const val SUCCESS_SAMPLE = 50
    }
}
