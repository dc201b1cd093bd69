package org.berylpoint.model

import kotlinx.serialization.Serializable

/**
 * The limits of a request class on one version of it.
 *
 * Durations are in milliseconds, worth is a factor without a unit.
 */
@Serializable
public data class ClassLimits(
    /** Requests in flight that one warm backend server carries. */
    val maxInFlight: Int,
    /** Requests in flight that a freshly started backend server carries. */
    val rampStart: Int = 1,
    /** Time from [rampStart] to [maxInFlight] while answers come on time. */
    val rampMillis: Long = 30_000,
    /** Longest run of one request on a backend server. */
    val maxRunMillis: Long = 120_000,
    /** Deadline of a request whose caller states none. */
    val defaultDeadlineMillis: Long = 30_000,
    /** Requests that may wait for a place, per entry instance. */
    val queueLimit: Int = 64,
    /** Weight of one on-time completion in the service measure. */
    val worth: Double = 1.0,
    /** Whether a request may be run again after it has reached a backend server. */
    val idempotent: Boolean = true,
    /** Normal time to the first token or byte; twice this marks a cold backend server. */
    val firstByteMillis: Long = 2_000,
)
