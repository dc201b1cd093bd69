package org.berylpoint.entry.http

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits on callers' requests and on the resources that their connections use. */
public data class HttpLimits(
    /** Largest request body in bytes; a larger one gets a `TooLarge` problem. */
    val maxBodyBytes: Int = 1 shl 20,
    /** Largest request line and headers together in bytes; Jetty responds to larger ones with status 431. */
    val maxHeaderBytes: Int = 16 * 1024,
    /** Longest `Idempotency-Key` and `Berylpoint-Workspace`, in characters; both become parts of table keys. */
    val maxNameLength: Int = 200,
    /** Longest time that a caller may set as the deadline. */
    val maxDeadline: Duration = 600.seconds,
    /** An idle stream gets a comment line at this interval, so that a caller's disconnect is detected. */
    val keepAliveInterval: Duration = 2.seconds,
    /** Number of threads that write to callers. A write blocks its thread while the caller's socket buffer is full. */
    val writerThreads: Int = 64,
)
