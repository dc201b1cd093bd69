package org.berylpoint.entry.ownership

import arrow.core.Either
import org.berylpoint.model.BackendServer
import org.berylpoint.model.RequestId
import org.berylpoint.peer.AttemptOutcome
import org.berylpoint.peer.PeerMessage.Denied
import kotlin.time.Duration

/** Reserves requests in flight with the owners of backend servers. */
public interface Reservations {
    /**
     * Requests a grant for one request in flight on [server] and waits at most [wait] for it. [remaining] is the time
     * to the request's deadline; a higher [worth] moves the request forward in the owner's queue. If the owner can't be
     * reached, the result is a denial with [org.berylpoint.peer.DenyReason.NOT_OWNER].
     */
    public suspend fun reserve(
        server: BackendServer,
        request: RequestId,
        remaining: Duration,
        wait: Duration,
        worth: Double,
    ): Either<Denied, Grant>
}

/** Permission for one request in flight on a backend server. */
public interface Grant {
    /** The server's load as the owner reported it with the grant; null if unknown. */
    public val load: ServerLoad? get() = null

    /** Whether a dispatch may still start under this grant; check it right before sending the first byte. */
    public fun isUsable(): Boolean

    /** Releases the grant; further calls have no effect. Does not suspend: the owner is notified in the background. */
    public fun release(outcome: AttemptOutcome)
}

/** Number of requests in flight on a backend server and its current limit. */
public data class ServerLoad(val inFlight: Int, val limit: Int)
