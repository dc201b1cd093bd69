package org.berylpoint.policy.rollout

/** Outcomes of one version over all instances since its rollout was ordered. */
public data class VersionCounts(val good: Long, val bad: Long) {
    val total: Long get() = good + bad

    /** Bad outcomes as a fraction of all outcomes; 0 if there are none. */
    val badRate: Double get() = if (total == 0L) 0.0 else bad.toDouble() / total

    public operator fun minus(before: VersionCounts): VersionCounts =
        VersionCounts((good - before.good).coerceAtLeast(0), (bad - before.bad).coerceAtLeast(0))
}

/** Numbers of responses of one version whose time is known, and of the [slow] ones among them. */
public data class TimingCounts(val timed: Long, val slow: Long) {
    /** Slow responses as a fraction; 0 if none is timed. */
    val slowRate: Double get() = if (timed == 0L) 0.0 else slow.toDouble() / timed

    internal operator fun minus(before: TimingCounts) =
        TimingCounts((timed - before.timed).coerceAtLeast(0), (slow - before.slow).coerceAtLeast(0))

    public companion object {
        public val NONE: TimingCounts = TimingCounts(0, 0)
    }
}

/** What all instances have seen of one version, or of several together; [routes] has its outcomes by route. */
public data class VersionEvidence(
    val outcomes: VersionCounts,
    val timings: TimingCounts = TimingCounts.NONE,
    val routes: Map<String, VersionCounts> = emptyMap(),
    /** The bad outcomes that were error responses of the servers themselves; the others had no complete response. */
    val errors: Long = 0,
) {
    /** The outcomes with a complete response, of which errors are the bad ones. */
    val responses: VersionCounts get() = VersionCounts(outcomes.good, errors)

    /** What was seen after [before], which is earlier evidence of the same. */
    public operator fun minus(before: VersionEvidence): VersionEvidence = VersionEvidence(
        outcomes - before.outcomes,
        timings - before.timings,
        routes.mapValues { (route, counts) -> before.routes[route]?.let { counts - it } ?: counts },
        (errors - before.errors).coerceAtLeast(0),
    )

    /**
     * Like [minus], but without the routes that [before] lacks: a route may be reported for the first time with all
     * that was seen on it.
     */
    internal fun since(before: VersionEvidence): VersionEvidence =
        copy(routes = routes.filterKeys { it in before.routes }) - before
}
