package org.berylpoint.entry.ownership

import arrow.core.Either
import org.berylpoint.model.BackendServer
import org.berylpoint.model.RequestId
import org.berylpoint.peer.AttemptOutcome
import org.berylpoint.peer.PeerMessage.Denied
import kotlin.time.Duration

/** Asks the owners of backend servers for places in flight. */
public interface Reservations {
    /**
     * Asks for a place on [server], waiting at most [wait] for one; [remaining] is the time to the request's
     * deadline. An owner that can't be reached denies with [org.berylpoint.peer.DenyReason.NOT_OWNER].
     */
    public suspend fun reserve(
        server: BackendServer,
        request: RequestId,
        remaining: Duration,
        wait: Duration,
        worth: Double,
    ): Either<Denied, Grant>
}

/** A place in flight on a backend server. */
public interface Grant {
    /** The load that the owner told with the grant; null when it is not known. */
    public val load: ServerLoad? get() = null

    /** Whether a dispatch may still start under this grant; to be asked right before the first byte is sent. */
    public fun isUsable(): Boolean

    /** Gives the place back; later calls do nothing. Never suspends: the message is sent in the background. */
    public fun release(outcome: AttemptOutcome)
}

/** Requests in flight on a backend server and its current limit. */
public data class ServerLoad(val inFlight: Int, val limit: Int)
