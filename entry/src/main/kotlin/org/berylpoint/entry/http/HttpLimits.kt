package org.berylpoint.entry.http

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Bounds on what a caller may send and on what its connection may cost. */
public data class HttpLimits(
    /** Largest request body in bytes; a larger one is refused with `TooLarge`. */
    val maxBodyBytes: Int = 1 shl 20,
    /** Largest request line and headers together in bytes; Jetty answers a larger one with status 431. */
    val maxHeaderBytes: Int = 16 * 1024,
    /** Longest `Idempotency-Key` and `Berylpoint-Workspace`, in characters; both become parts of table keys. */
    val maxNameLength: Int = 200,
    /** Longest deadline a caller may state. */
    val maxDeadline: Duration = 600.seconds,
    /** A stream that is quiet this long gets a comment line, so that a caller that has gone is noticed. */
    val keepAliveInterval: Duration = 2.seconds,
    /** Threads that write to callers. Each is held only while a caller's socket buffer is full. */
    val writerThreads: Int = 64,
)
