package org.berylpoint.policy.rollout

/**
 * How many of the requests to its service a version may get before the time of its rollout is over: [share] of them,
 * as a fraction, and [slack] more. So many may be hurt if it turns out to be bad at the worst moment.
 */
public data class ExposureBounds(val share: Double, val slack: Double) {
    /** These bounds less a margin, in fractions of [share] and [slack]. */
    internal fun scaled(shareFactor: Double, slackFactor: Double) =
        ExposureBounds(share * shareFactor, slack * slackFactor)

    public companion object {
        /** Used where neither the settings nor the command line names a bound. */
        public val DEFAULT: ExposureBounds = ExposureBounds(share = 0.1, slack = 50.0)
    }
}

/** Requests to a service since its rollout was ordered, over all instances, and those of them to the new version. */
public data class ExposureAccount(val sent: Long, val sentToNew: Long, val bounds: ExposureBounds) {
    /**
     * Time for which the new version may get all requests from now on, if [requestsPerSecond] come, in milliseconds.
     * Each of them also adds to what the bounds allow.
     */
    public fun handoverMillis(requestsPerSecond: Double): Long {
        val planned = bounds.scaled(PLANNED_SHARE, PLANNED_SLACK)
        val room = planned.share * sent + planned.slack - sentToNew
        if (room <= 0) return 0
        val usedPerSecond = (1 - planned.share) * requestsPerSecond.coerceAtLeast(MIN_REQUESTS_PER_SECOND)
        return (room / usedPerSecond * MILLIS_PER_SECOND).toLong()
    }

    /**
     * Share of the new version until the handover, [elapsedMillis] after an order that gives [durationMillis]: so much
     * that most of what the bounds allow is left for the handover, and more where that would be short.
     */
    public fun canaryShare(elapsedMillis: Long, durationMillis: Long): Double {
        val planned = bounds.scaled(PLANNED_SHARE, PLANNED_SLACK)
        // Before that, the rate of requests is not known.
        if (elapsedMillis < MIN_MEASURED_MILLIS || sent == 0L) return planned.share * CANARY_PORTION
        val expected = sent.toDouble() * durationMillis / minOf(elapsedMillis, durationMillis)
        val allowed = planned.share * expected + planned.slack
        val forHandover = (1 - planned.share) * expected * MIN_HANDOVER_MILLIS / durationMillis
        val budget = (allowed - forHandover).coerceIn(allowed * MIN_CANARY_PORTION, allowed * CANARY_PORTION)
        return (budget / expected).coerceAtMost(MAX_CANARY_SHARE)
    }

    private companion object {
        /** Parts of the bounds that are planned for; what instances send between two reports is not known. */
        const val PLANNED_SHARE = 0.95
        const val PLANNED_SLACK = 0.8

        /** Part of what the bounds allow that is used before the handover. */
        const val CANARY_PORTION = 0.4
        const val MIN_CANARY_PORTION = 0.2

        /** Enough for all instances to follow, for most responses to end, and for the write of the end. */
        const val MIN_HANDOVER_MILLIS = 650
        const val MAX_CANARY_SHARE = 0.5
        const val MIN_MEASURED_MILLIS = 1_000L
        const val MIN_REQUESTS_PER_SECOND = 0.1
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

/**
 * The requests that one instance may send to a new version, whatever it is told: its part of what [bounds] allow to
 * all. So the sum over all instances stays within the bounds although each knows of the others only what they reported.
 */
public class InstanceExposure(bounds: ExposureBounds) {
    private val enforced = bounds.scaled(ENFORCED_SHARE, ENFORCED_SLACK)

    /** The instance's part of the slack, as a fraction. */
    @Volatile
    private var portion = 0.0

    /** Updates what the instance's part is: it has sent [ownSent] of the service's [sent] requests, of [instances]. */
    public fun update(ownSent: Long, sent: Long, instances: Int) {
        portion = (ownSent + 1.0) / (maxOf(sent, ownSent) + maxOf(instances, 1))
    }

    /** Whether a further request may go to the new version after [sentToNew] of this instance's [sent] requests. */
    public fun hasRoom(sent: Long, sentToNew: Long): Boolean =
        sentToNew + 1 <= enforced.share * sent + enforced.slack * portion

    private companion object {
        /** The rest is for parts that are computed from reports of different age. */
        const val ENFORCED_SHARE = 1.0
        const val ENFORCED_SLACK = 0.9
    }
}
