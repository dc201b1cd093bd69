package org.berylpoint.peer

import arrow.core.Either
import org.berylpoint.model.InstanceId
import kotlin.time.Duration

/** Calls between entry instances. Every call has an answer or an error; none is retried here. */
public interface PeerNetwork {
    /** Sends [message] to the instance that listens on [address] and waits at most [timeout] for the answer. */
    public suspend fun call(address: String, message: PeerMessage, timeout: Duration): Either<PeerError, PeerMessage>

    /** Sets the handler for calls from other instances; calls before that are answered with an error. */
    public fun serve(handler: PeerHandler)
}

/** Answers calls of other entry instances. */
public fun interface PeerHandler {
    /** Gives the answer to [message], sent by [from]. */
    public suspend fun handle(from: InstanceId, message: PeerMessage): PeerMessage
}

/** Why a call between entry instances failed. */
public sealed interface PeerError {
    /** The address refuses connections: no process listens there, so the earlier one has ended. */
    public data object Refused : PeerError

    /** No answer in time; the other side may or may not have acted on the message. */
    public data object TimedOut : PeerError

    /** The connection broke before the answer; the other side may or may not have acted on the message. */
    public data object Broken : PeerError

    /** The other side could not answer, or the keys do not match. */
    public data class Rejected(val reason: String) : PeerError
}
