package org.berylpoint.policy.performance

/** What [PerformanceModel] expects of a server at its present load; times in milliseconds. */
public data class ServerExpectation(
    /** Time to prefill one prompt token. */
    val millisPerPromptToken: Double,
    /** Time from the end of prefill to the first event, including the wait for a slot where none is free. */
    val firstEventMillis: Double,
    /** Speed relative to the other servers of the service; above 1 for a faster one. */
    val speedFactor: Double,
    /** Part of [firstEventMillis] that any server of the service takes at least, whatever waits there. */
    val unavoidableMillis: Double = 0.0,
) {
    /** Time until the first event of a request whose prompt is prefilled after [tokens] tokens including its own. */
    public fun millis(tokens: Long): Double = tokens * millisPerPromptToken + firstEventMillis
}
