package org.berylpoint.model

import kotlinx.serialization.Serializable

/**
 * Limits that apply to a request class on the servers of one version.
 *
 * Durations are in milliseconds; [worth] has no unit.
 */
@Serializable
public data class ClassLimits(
    /** Maximum number of requests in flight on one warm backend server. */
    val maxInFlight: Int,
    /** Maximum number of requests in flight on a backend server that has just started. */
    val rampStart: Int = 1,
    /** Time in which a server's limit grows from [rampStart] to [maxInFlight] while its responses are on time. */
    val rampMillis: Long = 30_000,
    /** Maximum run time of one request on a backend server. */
    val maxRunMillis: Long = 120_000,
    /** Time to the deadline of a request whose caller states none. */
    val defaultDeadlineMillis: Long = 30_000,
    /**
     * Maximum number of requests that wait for a backend server, per entry instance; also bounds the queue of each
     * server at the instance that owns it.
     */
    val queueLimit: Int = 64,
    /**
     * Value of one on-time completion relative to other classes; a higher one moves a request forward in a backend
     * server's queue.
     */
    val worth: Double = 1.0,
    /** Whether a request may run again after it has reached a backend server. */
    val idempotent: Boolean = true,
    /** Normal time to the first token or byte; more than twice this is slow, a sign of a cold backend server. */
    val firstByteMillis: Long = 2_000,
)
