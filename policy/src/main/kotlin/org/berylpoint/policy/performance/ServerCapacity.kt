package org.berylpoint.policy.performance

/** What a server carries while its requests start within their targets. */
public data class ServerCapacity(
    /** Prompt tokens prefilled per second. */
    val prefillTokensPerSecond: Double,
    /** Requests in progress. */
    val requests: Double,
) {
    /** The larger of both capacities in each respect. */
    public fun atLeast(other: ServerCapacity): ServerCapacity = ServerCapacity(
        maxOf(prefillTokensPerSecond, other.prefillTokensPerSecond),
        maxOf(requests, other.requests),
    )

    public companion object {
        /** Prompt tokens that a server of unknown speed is assumed to prefill per second beside its other work. */
        private const val PRIOR_PREFILL_TOKENS_PER_SECOND = 34_000.0

        /** Part of the slots that is assumed to be in use at a server of unknown speed. */
        private const val PRIOR_SLOT_USE = 0.5

        /** The capacity of a server with [slots] of a service without evidence, at [speedFactor]. */
        public fun prior(slots: Int, speedFactor: Double = 1.0): ServerCapacity =
            ServerCapacity(PRIOR_PREFILL_TOKENS_PER_SECOND * speedFactor, slots * PRIOR_SLOT_USE)
    }
}
