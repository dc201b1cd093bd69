package org.berylpoint.ctl

import kotlin.time.Duration
import kotlin.time.TimeSource

/** What the commands share: the clients, and the clock that `--wait` and `watch` go by. */
internal class Session(
    val client: () -> OperatorClient,
    /** A client for routes that need no token. */
    val openClient: () -> OperatorClient,
    val time: TimeSource,
    val pause: (Duration) -> Unit,
)
